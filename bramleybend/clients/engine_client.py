"""Client of engines: reads their state and load, and sends them orders.

Orders load a model or adapter, or change an engine's role.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Protocol, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from bramleybend.clients.http import HttpApi, HttpResponse
from bramleybend.decisions.orders import (
    EngineState,
    LoadAdapter,
    LoadModel,
    Order,
    SetRole,
)
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import EngineRole, Vm

ENGINE_TIMEOUT_S: Final = 1.0
MILLISECONDS: Final = 1000
Body = TypeVar('Body', bound=BaseModel)


class StateBody(BaseModel):
    """Response to `GET /v1/state`."""

    model: str
    version: str
    adapters: list[str]
    role: EngineRole
    loading: bool


class LoadBody(BaseModel):
    """Response to `GET /v1/load`."""

    running: int
    waiting: int
    age_ms: float


@dataclass(frozen=True)
class EngineLoad:
    """Number of an engine's runs, and the age of that count."""

    runs: int
    age_s: float


class EngineClient(Protocol):
    """Calls to engines that the issuer of orders makes."""

    async def fetch_state(self, vm: Vm) -> Result[EngineState, Problem]:
        """Return the model, adapters and role that the engine now has."""

    async def fetch_load(self, vm: Vm) -> Result[EngineLoad, Problem]:
        """Return the number of its runs, as of a moment ago."""

    async def send_order(
        self,
        vm: Vm,
        fence: int,
        order: Order,
    ) -> Result[None, Problem]:
        """Send one order.

        `CONFLICT`: the engine has received an order with a higher fence.
        `RUNNER_REFUSED`: the engine rejects the order. After any other error,
        the engine may have accepted it; read its state to find out.
        """


class HttpEngineClient:
    """Sends orders over HTTP; keeps no state between calls."""

    async def fetch_state(self, vm: Vm) -> Result[EngineState, Problem]:
        """Return the model, adapters and role that the engine now has."""
        call_result = await _engine_api(vm).call('GET', '/v1/state')
        return (
            call_result.and_then(
                lambda reply: _parse_report(vm, reply, StateBody)
            )
        ).map(
            lambda body: EngineState(
                body.model,
                body.version,
                frozenset(body.adapters),
                body.role,
                body.loading,
            ),
        )

    async def fetch_load(self, vm: Vm) -> Result[EngineLoad, Problem]:
        """Return the number of its runs, as of a moment ago."""
        call_result = await _engine_api(vm).call('GET', '/v1/load')
        return (
            call_result.and_then(
                lambda reply: _parse_report(vm, reply, LoadBody)
            )
        ).map(
            lambda body: EngineLoad(
                body.running + body.waiting,
                body.age_ms / MILLISECONDS,
            ),
        )

    async def send_order(
        self,
        vm: Vm,
        fence: int,
        order: Order,
    ) -> Result[None, Problem]:
        """Send one order; see `EngineClient.send_order` for the errors."""
        call_result = await _engine_api(vm).call(
            'POST',
            '/v1/orders',
            {'fence': fence, **order_fields(order)},
        )
        return call_result.and_then(lambda reply: _check_accepted(vm, reply))


def order_fields(order: Order) -> Mapping[str, str]:
    """Return an order's kind and arguments in the engines' JSON format."""
    match order:
        case LoadModel(name, version):
            return {'kind': 'load_model', 'name': name, 'version': version}
        case LoadAdapter(name):
            return {'kind': 'load_adapter', 'name': name}
        case SetRole(role):
            return {'kind': 'set_role', 'role': role.value}


def _engine_api(vm: Vm) -> HttpApi:
    return HttpApi(f'http://{vm.endpoint}', ENGINE_TIMEOUT_S)


def _parse_report(
    vm: Vm,
    response: HttpResponse,
    body: type[Body],
) -> Result[Body, Problem]:
    if response.status != HTTPStatus.OK:
        return Err(_broken_problem(vm, f'answered {response.status}'))
    try:
        return Ok(body.model_validate_json(response.body))
    except ValidationError:
        return Err(_broken_problem(vm, 'sent a report with other fields'))


def _check_accepted(vm: Vm, response: HttpResponse) -> Result[None, Problem]:
    match response.status:
        case HTTPStatus.OK:
            return Ok(None)
        case HTTPStatus.CONFLICT:
            return Err(
                Problem(
                    ErrorKind.CONFLICT,
                    f'{vm.name} has had an order with a higher fence',
                    'another VM orders it now; nothing to do',
                ),
            )
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(
            Problem(
                ErrorKind.RUNNER_REFUSED,
                f'{vm.name} refused an order with {response.status}',
                'publish a model, version, adapters and role that it knows',
            ),
        )
    return Err(_broken_problem(vm, f'answered an order with {response.status}'))


def _broken_problem(vm: Vm, description: str) -> Problem:
    return Problem(
        ErrorKind.RUNNER_BROKEN,
        f'{vm.name} {description}',
        'check that the engine answers as docs/PLATFORM.md says',
    )
