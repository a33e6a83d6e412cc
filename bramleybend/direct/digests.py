"""What hubs tell of other VMs: who lives, and what workspaces spent there.

A digest names each VM that is alive by the key of its profile, and carries
only the profiles and totals that changed lately. A receiver that lacks a
profile (a lost datagram, a VM that has just started) asks for it by its key,
so no digest has to arrive.

Digests leave out hubs, which tell each other of themselves. So hubs compare
rosters, and two of them whose first datagrams were lost are introduced by a
third: each is told where the other is, and takes it for alive by its own word
alone.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import inf
from typing import Final

from bramleybend.direct.beat_messages import (
    Alive,
    Beat,
    Digest,
    Introduced,
    Profile,
    Roster,
    SpendingNews,
    Spent,
    Unknown,
)
from bramleybend.direct.members import (
    ALIVE_S,
    RELAYED_ALIVE_S,
    Member,
    Members,
)

# A whole round of a domain's hubs, and the answer.
ASK_AGAIN_S: Final = 0.7
# VMs in one datagram: with some tens of workspaces each, far below its limit.
MOST_TOLD: Final = 16
MILLISECOND: Final = timedelta(milliseconds=1).total_seconds()


@dataclass(frozen=True)
class Heard:
    """What a digest said of one VM."""

    member: Member
    spent: Spent | None


@dataclass(frozen=True)
class _Total:
    news: SpendingNews
    at: float  # when it changed


class Digests:
    """The profiles and totals of the other VMs, to be passed on."""

    def __init__(self, members: Members) -> None:
        """Know no profile."""
        self._members = members
        self._profiles: dict[int, Profile] = {}
        self._noted_at: dict[int, float] = {}
        self._totals: dict[str, dict[str, _Total]] = defaultdict(dict)
        self._whole: set[str] = set()  # VMs of which we know all totals
        # By VM, from when on its accounts are complete.
        self._complete_since: dict[str, float] = {}
        self._asked_at: dict[int, float] = {}  # by key that we lack

    def note(self, profile: Profile, now: float) -> int:
        """Keep a profile; returns its key."""
        key = profile.key
        self._asked_at.pop(key, None)
        if key not in self._profiles:
            self._profiles[key] = profile
            self._noted_at[key] = now
        return key

    def note_spendings(
        self,
        vm: str,
        told: Beat | Spent,
        now: float,
    ) -> None:
        """Keep a VM's totals; debts alone are no change."""
        if told.tells_all:
            self._whole.add(vm)
        self._complete_since[vm] = now - told.accounts_s
        totals = self._totals[vm]
        for news in told.spendings:
            known = totals.get(news.workspace)
            if known is None or (known.news.used, known.news.beyond) != (
                news.used,
                news.beyond,
            ):
                totals[news.workspace] = _Total(news, now)

    def forget(self, member: Member) -> None:
        """Drop a VM that is gone or began anew."""
        self._totals.pop(member.vm, None)
        self._whole.discard(member.vm)
        self._complete_since.pop(member.vm, None)
        gone = [
            key
            for key, profile in self._profiles.items()
            if profile.incarnation == member.incarnation
        ]
        for key in gone:
            self._profiles.pop(key)
            self._noted_at.pop(key)

    def changed_since(self, since: float) -> bool:
        """Tell whether a VM came, or says something new of itself."""
        return any(at > since for at in self._noted_at.values())

    def make(
        self, members: Iterable[Member], now: float, since: float = -inf
    ) -> Digest:
        """Tell of VMs that are alive, and what changed after a time."""
        told = [one for one in members if one.key in self._profiles]
        fresh = [one for one in told if self._noted_at[one.key] > since]
        spent = [self._spent(one, now, since) for one in told]
        return Digest(
            [Alive(one.key, _age_ms(one, now)) for one in told],
            [self._profiles[one.key] for one in fresh],
            [news for news in spent if news.spendings or news.tells_all],
        )

    def missed(
        self, before: Member | None, profile: Profile, now: float
    ) -> Digest:
        """Tell a VM that subscribes what it lacks; `before`: as known until now.

        One that was heard until now had another hub. Told all, the VMs of a
        domain would fill the link of one that becomes a hub. All are told who
        lives by key alone, and ask for the profiles that they lack.
        """
        alive = self._members.alive(now)
        since = now
        if before is not None and before.incarnation == profile.incarnation:
            if now - before.heard_at > ALIVE_S:
                since = before.heard_at - RELAYED_ALIVE_S
        return self.make(alive, now, since)

    def roster(self) -> Roster:
        """Name all VMs that we know."""
        return Roster([one.key for one in self._members])

    def answer(
        self, message: Unknown | Roster, sender: str, now: float
    ) -> Iterator[Digest | Introduced]:
        """Tell a VM what it asks for, or whom its roster lacks."""
        match message:
            case Unknown():
                yield from self._of_keys(message.keys, now)
            case Roster():
                missing = self._not_among(message, sender, now)
                if missing:
                    yield Introduced(missing[:MOST_TOLD])

    def strangers(self, introduced: Introduced) -> list[Profile]:
        """Return those of the introduced VMs that we don't know."""
        return [
            profile
            for profile in introduced.profiles
            if profile.vm != self._members.own.vm
            and not self._is_known(profile)
        ]

    def take(self, digest: Digest, now: float) -> tuple[list[Heard], list[int]]:
        """Read a digest; returns what it says, and the keys not known."""
        for profile in digest.profiles:
            self.note(profile, now)
        spent = {news.key: news for news in digest.spent}
        heard = []
        for alive in digest.alive:
            known = self._profiles.get(alive.key)
            if known is not None and known.vm != self._members.own.vm:
                at = now - alive.age_ms * MILLISECOND
                member = member_of(known, alive.key, at, RELAYED_ALIVE_S)
                heard.append(Heard(member, spent.get(alive.key)))
        unknown = [
            one.key for one in digest.alive if one.key not in self._profiles
        ]
        return heard, self._to_ask(unknown, now)

    def _to_ask(self, keys: Iterable[int], now: float) -> list[int]:
        """Ask for a key once in a while: each hub of a domain names it."""
        asked = [
            key
            for key in keys
            if now - self._asked_at.get(key, -inf) > ASK_AGAIN_S
        ]
        self._asked_at.update(dict.fromkeys(asked, now))
        return asked

    def _of_keys(self, keys: Sequence[int], now: float) -> Iterator[Digest]:
        """Tell all of the VMs that a receiver doesn't know, some at a time."""
        for first in range(0, len(keys), MOST_TOLD):
            wanted = set(keys[first : first + MOST_TOLD])
            yield self.make(
                (one for one in self._members if one.key in wanted), now
            )

    def _not_among(
        self, roster: Roster, sender: str, now: float
    ) -> list[Profile]:
        """Return the VMs that we hear and a hub's roster lacks.

        Silent VMs are on a roster, too: the hub knows them and tries them
        itself, as we may have a path to them that it has not.
        """
        named = set(roster.keys)
        return [
            self._profiles[one.key]
            for one in self._members.alive(now)
            if one.key not in named
            and one.vm != sender
            and one.key in self._profiles
        ]

    def _is_known(self, profile: Profile) -> bool:
        member = self._members.get(profile.vm)
        return member is not None and (
            member.incarnation == profile.incarnation
        )

    def _spent(self, member: Member, now: float, since: float) -> Spent:
        """Return what a VM spent; all of it with a profile that is new."""
        is_new = self._noted_at[member.key] > since
        totals = self._totals.get(member.vm, {})
        told = [
            total.news
            for total in totals.values()
            if is_new or total.at > since
        ]
        return Spent(
            member.key,
            told,
            is_new and member.vm in self._whole,
            now - self._complete_since.get(member.vm, -inf),
        )


def member_of(
    profile: Profile, key: int, heard_at: float, lasts_s: float
) -> Member:
    """Return a VM as it described itself at a time."""
    return Member(
        profile.vm,
        profile.incarnation,
        profile.address,
        profile.front,
        profile.ready,
        profile.leaving,
        heard_at,
        heard_at,
        profile.domain,
        profile.capacity,
        key,
        lasts_s,
    )


def _age_ms(member: Member, now: float) -> int:
    return int(max(now - member.heard_at, 0) / MILLISECOND)
