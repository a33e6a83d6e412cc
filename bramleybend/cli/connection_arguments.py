"""Arguments with the addresses of the log and the VMs."""

from argparse import ArgumentParser

from bramleybend.cli.argument_types import (
    parse_port,
    parse_seconds,
    parse_url,
    parse_vm_address,
)
from bramleybend.cli.constants import (
    ENV_LOG_SERVICE,
    ENV_VM_LIST,
    GATEWAY_PORT,
    SCHEDULER_PORT,
    TIMEOUT_S,
)


def add_log_service(parser: ArgumentParser) -> None:
    """Add the URL of the log service."""
    parser.add_argument(
        '--log-service',
        type=parse_url,
        metavar='URL',
        help=f'the log service ({ENV_LOG_SERVICE})',
    )


def add_vms(parser: ArgumentParser) -> None:
    """Add VMs by address."""
    parser.add_argument(
        '--vm',
        dest='vms',
        type=parse_vm_address,
        action='append',
        metavar='IP[:PORT]',
        help='ask this VM, or one of its programs; may be repeated',
    )


def add_vm_discovery(parser: ArgumentParser) -> None:
    """Add the URL of the VM list and the ports of the programs."""
    parser.add_argument(
        '--vm-list',
        type=parse_url,
        metavar='URL',
        help=f'find the VMs in this VM list ({ENV_VM_LIST})',
    )
    parser.add_argument(
        '--gateway-port',
        type=parse_port,
        metavar='PORT',
        help=f'gRPC port of the gateways (default: {GATEWAY_PORT})',
    )
    parser.add_argument(
        '--scheduler-port',
        type=parse_port,
        metavar='PORT',
        help=f'gRPC port of the schedulers (default: {SCHEDULER_PORT})',
    )


def add_common(parser: ArgumentParser) -> None:
    """Add the flags that every command has."""
    parser.add_argument(
        '--timeout',
        dest='timeout_s',
        type=parse_seconds,
        metavar='SECONDS',
        help=f'how long to wait for the end (default: {TIMEOUT_S:g})',
    )
    parser.add_argument(
        '--json',
        dest='as_json',
        action='store_true',
        help='print JSON for scripts',
    )
