"""Asks engines what they hold and orders them to hold something else."""

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
    """`GET /v1/state`."""

    model: str
    version: str
    adapters: list[str]
    role: EngineRole
    loading: bool


class LoadBody(BaseModel):
    """`GET /v1/load`."""

    running: int
    waiting: int
    age_ms: float


@dataclass(frozen=True)
class ReportedWork:
    """How much an engine ran, and how long ago it looked."""

    runs: int
    age_s: float


class EngineOrders(Protocol):
    """What an issuer asks of engines."""

    async def state(self, vm: Vm) -> Result[EngineState, Problem]:
        """Return what the engine holds now."""

    async def work(self, vm: Vm) -> Result[ReportedWork, Problem]:
        """Return how much it runs; the report is late."""

    async def send(
        self,
        vm: Vm,
        fence: int,
        order: Order,
    ) -> Result[None, Problem]:
        """Give one order.

        `CONFLICT`: the engine has had an order with a higher fence.
        `RUNNER_REFUSED`: it won't carry it out. Any other kind: it may have
        taken the order or not; read its state.
        """


class HttpEngineOrders:
    """Orders over HTTP; holds no state between calls."""

    async def state(self, vm: Vm) -> Result[EngineState, Problem]:
        """Return what the engine holds now."""
        answer = await _api(vm).call('GET', '/v1/state')
        return (
            answer.and_then(lambda reply: _parsed(vm, reply, StateBody))
        ).map(
            lambda body: EngineState(
                body.model,
                body.version,
                frozenset(body.adapters),
                body.role,
                body.loading,
            ),
        )

    async def work(self, vm: Vm) -> Result[ReportedWork, Problem]:
        """Return how much it runs; the report is late."""
        answer = await _api(vm).call('GET', '/v1/load')
        return (
            answer.and_then(lambda reply: _parsed(vm, reply, LoadBody))
        ).map(
            lambda body: ReportedWork(
                body.running + body.waiting,
                body.age_ms / MILLISECONDS,
            ),
        )

    async def send(
        self,
        vm: Vm,
        fence: int,
        order: Order,
    ) -> Result[None, Problem]:
        """Give one order; see `EngineOrders.send` for the kinds of problem."""
        answer = await _api(vm).call(
            'POST',
            '/v1/orders',
            {'fence': fence, **order_fields(order)},
        )
        return answer.and_then(lambda reply: _accepted(vm, reply))


def order_fields(order: Order) -> Mapping[str, str]:
    """Return an order's kind and arguments as engines read them."""
    match order:
        case LoadModel(name, version):
            return {'kind': 'load_model', 'name': name, 'version': version}
        case LoadAdapter(name):
            return {'kind': 'load_adapter', 'name': name}
        case SetRole(role):
            return {'kind': 'set_role', 'role': role.value}


def _api(vm: Vm) -> HttpApi:
    return HttpApi(f'http://{vm.endpoint}', ENGINE_TIMEOUT_S)


def _parsed(
    vm: Vm,
    response: HttpResponse,
    body: type[Body],
) -> Result[Body, Problem]:
    if response.status != HTTPStatus.OK:
        return Err(_broken(vm, f'answered {response.status}'))
    try:
        return Ok(body.model_validate_json(response.body))
    except ValidationError:
        return Err(_broken(vm, 'sent a report with other fields'))


def _accepted(vm: Vm, response: HttpResponse) -> Result[None, Problem]:
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
    return Err(_broken(vm, f'answered an order with {response.status}'))


def _broken(vm: Vm, fact: str) -> Problem:
    return Problem(
        ErrorKind.RUNNER_BROKEN,
        f'{vm.name} {fact}',
        'check that the engine answers as docs/PLATFORM.md says',
    )
