"""The model, adapters and role of the stand-in engine, and their loading."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any


@dataclass
class Load:
    """One load of a model or adapter, in wall time.

    `ended_at` is 0 while the load is in progress.
    """

    began_at: float
    ended_at: float = 0


class Weights:
    """The loaded model and adapters; a load takes `load_s` seconds."""

    def __init__(self, model: str, version: str, load_s: float) -> None:
        """Start with a loaded model and no adapters."""
        self.model = model
        self.version = version
        self.load_s = load_s
        self.adapters: set[str] = set()
        self.role = 'mixed'
        self.loads: list[Load] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def loading(self) -> bool:
        """Whether a load is in progress."""
        return bool(self.loads) and not self.loads[-1].ended_at

    def state(self) -> dict[str, object]:
        """Return the body of `GET /v1/state`."""
        return {
            'model': self.model,
            'version': self.version,
            'adapters': sorted(self.adapters),
            'role': self.role,
            'loading': self.loading,
        }

    def execute_order(self, order: dict[str, Any], unloadable: str) -> None:
        """Execute an order.

        Loading the version or adapter `unloadable` fails. Raises ValueError
        for an unknown order and for a load during another one.
        """
        match order:
            case {'kind': 'load_model', 'name': name, 'version': version}:
                self._start_load(name, version, unloadable)
            case {'kind': 'load_adapter', 'name': name}:
                self._start_load(self.model, self.version, unloadable, name)
            case {'kind': 'set_role', 'role': role}:
                self.role = role
            case _:
                raise ValueError(f'unknown order {order}')

    def stop(self) -> None:
        """Cancel a load in progress."""
        if self._task is not None:
            self._task.cancel()

    def _start_load(
        self,
        model: str,
        version: str,
        unloadable: str,
        adapter: str = '',
    ) -> None:
        if self.loading:
            raise ValueError('loading already')
        load = Load(time.time())
        self.loads.append(load)
        fails = bool(unloadable) and unloadable in {version, adapter}
        self._task = asyncio.create_task(
            self._load(load, '' if fails else model, version, adapter),
        )

    async def _load(
        self,
        load: Load,
        model: str,
        version: str,
        adapter: str,
    ) -> None:
        await asyncio.sleep(self.load_s)
        if adapter:
            self.adapters |= {adapter} if model else set()
        else:
            self.model, self.version = model, version
            self.adapters.clear()
        load.ended_at = time.time()


def most_at_once(loads: list[Load]) -> int:
    """Return the maximum number of loads that overlapped."""
    return max(
        (
            sum(
                other.began_at <= load.began_at
                and not 0 < other.ended_at <= load.began_at
                for other in loads
            )
            for load in loads
        ),
        default=0,
    )
