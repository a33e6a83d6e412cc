"""Who owns which runners: shards of a pool and their ranked owners.

Answers churn among the entry VMs. A table of owners would have to be agreed
on at each change; ranking by hash gives every VM the same answer from the
same view, and a VM that joins or leaves moves only its own share (about one
shard in n). Views may differ for a moment: two owners of a shard then cost
goodput, never a promise, because the right to dispatch rests elsewhere.
"""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh64_intdigest

from bramleybend.state.member import Member

SEPARATOR: Final = '\x1f'


def shard_of(runner_name: str, shards: int) -> int:
    """Return the shard that a runner belongs to, for as long as it is named.

    Changing the number of shards moves most runners, which is why the number
    is declared in the terms and not worked out from the runners seen.
    """
    return xxh64_intdigest(runner_name.encode()) % shards


def owners_of(
    service: str,
    shard: int,
    members: Sequence[Member],
) -> list[Member]:
    """Rank the members for a shard: the owner, then its fallbacks.

    Every VM weighs the same, so a small domain isn't loaded beyond its VMs.
    The first fallback stands in another domain, where there is one: the loss
    of a domain would otherwise take owner and fallback at once, and asks
    would time out down the whole ranking.
    """
    ranked = sorted(
        members,
        key=lambda member: (_score(service, shard, member), member.heartbeat),
        reverse=True,
    )
    for index, member in enumerate(ranked):
        if member.domain != ranked[0].domain:
            ranked.insert(1, ranked.pop(index))
            break
    return ranked


def _score(service: str, shard: int, member: Member) -> int:
    # By name, not incarnation: a restarted VM gets its own shards back, and
    # the others keep theirs.
    key = SEPARATOR.join((service, str(shard), member.vm))
    return xxh64_intdigest(key.encode())
