"""Headers of messages: who speaks, and when in causal order.

A header carries the sender's hybrid stamp, and its receiver moves past it. So
on the time line a grant stands after the ask it answers, also when the wall
clocks of the two VMs differ.
"""

from collections.abc import Callable

from bramleybend.events import EventLog, parse_stamp
from bramleybend.identity import Identity
from bramleybend.wire.bramleybend_pb2 import Header
from bramleybend.wire.channels import PROTOCOL
from bramleybend.wire.check import Context, refuse_other_protocol


class Headers:
    """Writes one process's headers and learns from those it gets."""

    def __init__(
        self,
        identity: Identity,
        events: EventLog,
        terms_version: Callable[[], int],
    ) -> None:
        """Speak for one process."""
        self._identity = identity
        self._events = events
        self._terms_version = terms_version

    def make(self) -> Header:
        """Return a header for a message that is sent now."""
        return Header(
            protocol=PROTOCOL,
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            terms_version=self._terms_version(),
            hlc=str(self._events.hybrid.tick()),
        )

    def observe(self, header: Header) -> None:
        """Move this process's stamps past the sender's."""
        seen = parse_stamp(header.hlc)
        if seen is not None:
            self._events.hybrid.observe(seen)

    async def accept(self, header: Header, context: Context) -> None:
        """Take a request's header in; ends the call of another protocol."""
        await refuse_other_protocol(header, context)
        self.observe(header)
