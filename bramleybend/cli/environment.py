"""The external dependencies of a command, which tests can replace."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO
from uuid import uuid4

from bramleybend.cli.control import ControlClient, make_control
from bramleybend.clients.http_log import make_http_log
from bramleybend.clients.http_vm_list import make_http_vm_list
from bramleybend.clients.log_service import LogService
from bramleybend.clients.vm_list import VmList
from bramleybend.clock import Clock, SystemClock


def _new_id() -> str:
    return uuid4().hex


@dataclass(frozen=True)
class Environment:
    """Streams, variables, time, and factories of the platform's clients."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    clock: Clock = field(default_factory=SystemClock)
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    new_id: Callable[[], str] = _new_id
    make_log: Callable[[str], LogService] = make_http_log
    make_vm_list: Callable[[str], VmList] = make_http_vm_list
    make_control: Callable[[str], ControlClient] = make_control
