"""Status and drain of a scheduler, for operators."""

from typing import TYPE_CHECKING

from bramleybend.models import Tier

if TYPE_CHECKING:
    from bramleybend.scheduler.core import Scheduler


class SchedulerControl:
    """Reports a scheduler's status to operators and drains it for them."""

    def __init__(self, scheduler: 'Scheduler') -> None:
        """Control this scheduler."""
        self._scheduler = scheduler

    def status(self) -> dict[str, object]:
        """Return the fields of docs/operators/CTL.md."""
        scheduler = self._scheduler
        return {
            'process': 'scheduler',
            'vm': scheduler.identity.vm,
            'incarnation': scheduler.identity.incarnation,
            'domain': scheduler.identity.domain,
            'terms_version': scheduler.terms_follower.version,
            'terms_age_s': scheduler.peers.terms_age_s(),
            'log_ok': scheduler.terms_follower.log_ok,
            'list_ok': scheduler.vm_list_poller.is_available,
            'draining': scheduler.stopping.is_set(),
            'members': [
                {
                    'vm': member.vm,
                    'address': member.address,
                    'domain': member.domain,
                    'state': member.state,
                }
                for member in scheduler.peers.list_known()
            ],
            'shards': [
                {
                    'service': view.service,
                    'shard': view.shard,
                    'owner': scheduler.identity.vm,
                    'running': view.running,
                    'waiting': view.waiting,
                    'limit': view.limit,
                }
                for view in scheduler.shard_table.list_owned_loads()
            ],
            'runners': [
                {
                    'name': vm.name,
                    'endpoint': vm.endpoint,
                    'service': vm.service,
                    'state': vm.state,
                }
                for vm in scheduler.vm_list_poller.runners
            ],
            'queues': self._count_waiting_by_tier(),
            'in_flight': sum(
                len(task.holds) for task in scheduler.shard_table.tasks
            ),
        }

    def drain(self) -> None:
        """Start a planned stop."""
        self._scheduler.stopping.set()

    def _count_waiting_by_tier(self) -> dict[str, int]:
        counts = dict.fromkeys((str(int(tier)) for tier in Tier), 0)
        for task in self._scheduler.shard_table.tasks:
            for hold in task.list_waiting():
                counts[str(int(hold.tier))] += 1
        return counts
