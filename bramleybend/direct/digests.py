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
    HUBS,
    RELAYED_ALIVE_S,
    Member,
    Members,
)

# A whole round of a domain's hubs, and the answer.
ASK_AGAIN_S: Final = 0.7
# VMs in one datagram: with some tens of workspaces each, far below its limit.
MOST_TOLD: Final = 16
MILLISECOND: Final = timedelta(milliseconds=1).total_seconds()


# Not frozen, with slots: one is made for most VMs of each digest, and a frozen
# one takes longer to make.
@dataclass(slots=True)
class Heard:
    """What a digest said of one VM."""

    profile: Profile
    at: float  # when that VM spoke
    member: Member | None  # none: what is known of it is as new
    spent: Spent | None


@dataclass(frozen=True)
class _Total:
    news: SpendingNews
    said_at: float  # by the VM itself
    at: float  # when we heard of the change


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
        self, vm: str, told: Beat | Spent, said_at: float, now: float
    ) -> list[SpendingNews]:
        """Keep a VM's totals of a time; returns those that say anything new.

        Debts alone are no change. Older totals that came through a slower hub
        change nothing.
        """
        self._complete_since[vm] = now - told.accounts_s
        totals = self._totals[vm]
        changed = [
            news
            for news in told.spendings
            if _is_change(totals.get(news.workspace), news, said_at)
        ]
        for news in changed:
            totals[news.workspace] = _Total(news, said_at, now)
        if told.tells_all:
            self._whole.add(vm)
        return changed

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
        self,
        members: Iterable[Member],
        now: float,
        since: float = -inf,
        left_out: int | None = None,
    ) -> Digest:
        """Tell of VMs that are alive, and what changed after a time.

        `left_out` is the third of the VMs whose totals are told only with a
        new profile.
        """
        told = [one for one in members if one.key in self._profiles]
        fresh = [one for one in told if self._noted_at[one.key] > since]
        spent = [
            self._spent(one, now, since)
            for one in told
            if one.key % HUBS != left_out or self._noted_at[one.key] > since
        ]
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
        known = [one for one in digest.alive if one.key in self._profiles]
        heard = (self._hear(one, spent.get(one.key), now) for one in known)
        unknown = [
            one.key for one in digest.alive if one.key not in self._profiles
        ]
        news = [one for one in heard if one is not None]
        return news, self._to_ask(unknown, now)

    def _hear(
        self, alive: Alive, spent: Spent | None, now: float
    ) -> Heard | None:
        """Return what is new of a VM, but for the time when it spoke."""
        profile = self._profiles[alive.key]
        if profile.vm == self._members.own.vm:
            return None
        at = now - alive.age_ms * MILLISECOND
        known = self._members.get(profile.vm)
        if known is not None and known.refresh(alive.key, at, now):
            return Heard(profile, at, None, spent) if spent else None
        if known is None or known.heard_at <= at:
            member = member_of(profile, alive.key, at, RELAYED_ALIVE_S)
            return Heard(profile, at, member, spent)
        if known.incarnation == profile.incarnation and spent:
            return Heard(profile, at, None, spent)
        return None

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


def _is_change(
    known: _Total | None, news: SpendingNews, said_at: float
) -> bool:
    if known is None:
        return True
    if said_at < known.said_at:
        return False
    before = known.news
    return before.used != news.used or before.beyond != news.beyond


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
