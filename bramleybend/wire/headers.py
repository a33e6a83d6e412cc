"""Headers of gRPC messages: the sender and its hybrid logical clock.

The receiver advances its own clock past the sender's timestamp. A timeline
thus shows a grant after the request for the slot, even if the wall clocks of
the two VMs differ.
"""

from collections.abc import Callable

from bramleybend.events import EventLog, parse_stamp
from bramleybend.identity import Identity
from bramleybend.wire.bramleybend_pb2 import Header
from bramleybend.wire.channels import PROTOCOL_VERSION
from bramleybend.wire.protocol_check import Context, reject_protocol_mismatch


class Headers:
    """Makes headers of a process's messages; processes received headers."""

    def __init__(
        self,
        identity: Identity,
        events: EventLog,
        terms_version: Callable[[], int],
    ) -> None:
        """Use the identity, clock and terms version of one process."""
        self._identity = identity
        self._events = events
        self._terms_version = terms_version

    def make(self) -> Header:
        """Return a header for a message to send now."""
        return Header(
            protocol=PROTOCOL_VERSION,
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            terms_version=self._terms_version(),
            hlc=str(self._events.hybrid.tick()),
        )

    def observe(self, header: Header) -> None:
        """Advance this process's clock past the sender's timestamp."""
        sender_stamp = parse_stamp(header.hlc)
        if sender_stamp is not None:
            self._events.hybrid.observe(sender_stamp)

    async def accept(self, header: Header, context: Context) -> None:
        """Process a request's header; abort on a protocol mismatch."""
        await reject_protocol_mismatch(header, context)
        self.observe(header)
