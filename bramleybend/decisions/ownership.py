"""Shards of a pool and the ranking of their owners.

Membership changes often among the entry VMs. A table of owners would need an
agreement at each change; ranking by hash gives every VM the same result from
the same view, and a VM that joins or leaves moves only its own share (about one
shard in n). Views may differ for a moment: two owners of a shard then reduce
goodput but break no guarantee, because only a request's home may dispatch it.
"""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh64_intdigest

from bramleybend.state.member import Member

SEPARATOR: Final = '\x1f'


def shard_of(runner_name: str, shards: int) -> int:
    """Return the shard of a runner, which depends only on its name.

    Changing the number of shards moves most runners, so the number is declared
    in the terms and not derived from the runners seen.
    """
    return xxh64_intdigest(runner_name.encode()) % shards


def rank_owners(
    service: str,
    shard: int,
    members: Sequence[Member],
) -> list[Member]:
    """Rank the members for a shard: the owner, then its fallbacks.

    Every VM has the same weight, so a small failure domain is not loaded beyond
    its VMs. The first fallback is in another domain if there is one: otherwise
    the loss of a domain could take owner and fallback at once, and slot
    requests would time out at each of them in turn.
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
    # The hash uses the name, not the incarnation: a restarted VM gets its own
    # shards back, and the other VMs keep theirs.
    key = SEPARATOR.join((service, str(shard), member.vm))
    return xxh64_intdigest(key.encode())
