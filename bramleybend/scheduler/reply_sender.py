"""Replies of a shard's task to gateways, with the events of its decisions."""

from bramleybend.decisions.actions import Refuse
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import Tier, Vm
from bramleybend.scheduler.shard_messages import HoldChannel
from bramleybend.wire.bramleybend_pb2 import (
    Granted,
    HoldReply,
    Preempted,
    Queued,
    Refused,
)


class ReplySender:
    """Sends replies on one shard's holds and records events of decisions."""

    def __init__(
        self,
        service: str,
        shard: int,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Label events with this service and shard."""
        self._service = service
        self._shard = shard
        self._events = events
        self._metrics = metrics

    def send_queued(self, hold: HoldChannel) -> None:
        """Confirm at once that the request was received."""
        hold.outbox.put_nowait(HoldReply(queued=Queued()))

    def send_grant(self, hold: HoldChannel, runner: Vm) -> None:
        """Grant a slot of a runner."""
        grant = Granted(runner=runner.name, endpoint=runner.endpoint)
        hold.outbox.put_nowait(HoldReply(granted=grant))
        self.record_event('grant', hold, runner=runner.name)

    def send_preemption(self, hold: HoldChannel, for_tier: Tier) -> None:
        """Ask the gateway to cancel its run for a higher tier."""
        preempted = Preempted(for_tier=for_tier)
        hold.outbox.put_nowait(HoldReply(preempted=preempted))
        self.record_event('preempt', hold, for_tier=int(for_tier))

    def send_refusal(self, hold: HoldChannel, refusal: Refuse) -> None:
        """Refuse a request and end its stream."""
        refused = Refused(
            reason=refusal.reason,
            retry_after_s=refusal.retry_after.total_seconds(),
            shed=refusal.shed,
        )
        hold.outbox.put_nowait(HoldReply(refused=refused))
        hold.outbox.put_nowait(None)
        self._metrics.count(
            Metric.REFUSED,
            reason=refusal.reason,
            tier=int(hold.tier),
        )
        self.record_event('refuse', hold, reason=refusal.reason)

    def record_event(
        self, event: str, hold: HoldChannel, **fields: object
    ) -> None:
        """Record an event about one hold."""
        self._events.record(
            event,
            hold.request_id,
            service=self._service,
            shard=self._shard,
            tier=int(hold.tier),
            **fields,
        )
