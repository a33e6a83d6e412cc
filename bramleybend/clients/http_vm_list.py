"""HTTP client of the VM list that docs/PLATFORM.md describes."""

from http import HTTPStatus
from ipaddress import IPv4Address
from typing import Final

from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok, Result

from bramleybend.clients.http import HttpApi, HttpResponse
from bramleybend.clients.vm_list import VmList
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import RunnerState, Vm

LIST_TIMEOUT_S: Final = 2.0
MAX_PORT: Final = 65535


class VmBody(BaseModel):
    """One VM in a response of the list."""

    name: str = Field(min_length=1)
    address: IPv4Address
    port: int = Field(gt=0, le=MAX_PORT)
    service: str
    domain: str
    state: RunnerState


class VmListBody(BaseModel):
    """The response to a fetch."""

    vms: list[VmBody]


class HttpVmList:
    """Fetches the list; keeps no state between calls."""

    def __init__(self, api: HttpApi) -> None:
        """Use this API client for the calls."""
        self._api = api

    async def fetch(self) -> Result[tuple[Vm, ...], Problem]:
        """Return the list as the platform last updated it."""
        call_result = await self._api.call('GET', '/vms')
        match call_result:
            case Err(problem):
                return Err(_unavailable_problem(problem.detail))
            case Ok(response):
                return _parse_list(response)


def make_http_vm_list(url: str) -> VmList:
    """Make a client of the VM list at `url`."""
    return HttpVmList(HttpApi(url, LIST_TIMEOUT_S))


def _unavailable_problem(detail: str) -> Problem:
    return Problem(
        ErrorKind.LIST_UNAVAILABLE,
        f'the VM list is unavailable: {detail}',
        'the last list read stays in force until it is back',
    )


def _parse_list(response: HttpResponse) -> Result[tuple[Vm, ...], Problem]:
    if response.status != HTTPStatus.OK:
        return Err(_unavailable_problem(f'it answered {response.status}'))
    try:
        body = VmListBody.model_validate_json(response.body)
    except ValidationError as exc:
        return Err(
            _unavailable_problem(f'{exc.error_count()} fields are not valid')
        )
    return Ok(tuple(_make_vm(entry) for entry in body.vms))


def _make_vm(entry: VmBody) -> Vm:
    return Vm(
        entry.name,
        str(entry.address),
        entry.port,
        entry.service,
        entry.domain,
        entry.state,
    )
