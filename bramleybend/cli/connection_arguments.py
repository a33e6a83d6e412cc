"""Arguments that say where the log and the VMs are."""

from argparse import ArgumentParser

from bramleybend.cli.argtypes import port, seconds, url, vm_address
from bramleybend.cli.constants import (
    ENV_LOG_SERVICE,
    ENV_VM_LIST,
    GATEWAY_PORT,
    SCHEDULER_PORT,
    TIMEOUT_S,
)


def add_log(parser: ArgumentParser) -> None:
    """Take the log's place."""
    parser.add_argument(
        '--log-service',
        type=url,
        metavar='URL',
        help=f'the log service ({ENV_LOG_SERVICE})',
    )


def add_vms(parser: ArgumentParser) -> None:
    """Take VMs by address."""
    parser.add_argument(
        '--vm',
        dest='vms',
        type=vm_address,
        action='append',
        metavar='IP[:PORT]',
        help='ask this VM, or one of its programs; may be repeated',
    )


def add_places(parser: ArgumentParser) -> None:
    """Take the VM list's place and the ports of the programs."""
    parser.add_argument(
        '--vm-list',
        type=url,
        metavar='URL',
        help=f'find the VMs in this VM list ({ENV_VM_LIST})',
    )
    parser.add_argument(
        '--gateway-port',
        type=port,
        metavar='PORT',
        help=f'gRPC port of the gateways (default: {GATEWAY_PORT})',
    )
    parser.add_argument(
        '--scheduler-port',
        type=port,
        metavar='PORT',
        help=f'gRPC port of the schedulers (default: {SCHEDULER_PORT})',
    )


def add_common(parser: ArgumentParser) -> None:
    """Take what every command knows."""
    parser.add_argument(
        '--timeout',
        dest='timeout_s',
        type=seconds,
        metavar='SECONDS',
        help=f'how long to wait for the end (default: {TIMEOUT_S:g})',
    )
    parser.add_argument(
        '--json',
        dest='as_json',
        action='store_true',
        help='print JSON for scripts',
    )
