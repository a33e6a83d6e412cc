"""What a stand-in engine holds, and its loads of weights."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any


@dataclass
class Load:
    """One load, by the wall clock; `ended_at` is 0 while it lasts."""

    began_at: float
    ended_at: float = 0


class Weights:
    """Model, version, adapters and role; a load takes `load_s`."""

    def __init__(self, model: str, version: str, load_s: float) -> None:
        """Hold a model from the start."""
        self.model = model
        self.version = version
        self.load_s = load_s
        self.adapters: set[str] = set()
        self.role = 'mixed'
        self.loads: list[Load] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def loading(self) -> bool:
        """Whether a load is under way."""
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

    def take(self, order: dict[str, Any], unloadable: str) -> None:
        """Carry an order out; raise `ValueError` for one not understood."""
        match order:
            case {'kind': 'load_model', 'name': name, 'version': version}:
                self._begin(name, version, unloadable)
            case {'kind': 'load_adapter', 'name': name}:
                self._begin(self.model, self.version, unloadable, name)
            case {'kind': 'set_role', 'role': role}:
                self.role = role
            case _:
                raise ValueError(f'unknown order {order}')

    def stop(self) -> None:
        """End a load under way with its engine."""
        if self._task is not None:
            self._task.cancel()

    def _begin(
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
    """Return how many loads ever overlapped."""
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
