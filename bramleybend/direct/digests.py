"""Digests: the liveness and workspace totals of VMs, as hubs relay them.

A digest lists each VM that is alive by the key of its profile. It contains
only profiles and totals that changed recently. A receiver that lacks a profile
(a lost datagram, a VM that has just started) requests it by its key, so any
digest may be lost.

The digests that hubs send each other leave out the hubs, which exchange
heartbeats directly. If the first datagrams between two hubs are lost, a third
hub sends each the profile of the other: hubs compare the lists of VMs that
they know. A hub counts another as alive only once it hears it directly.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import inf
from typing import Final

from bramleybend.direct.heartbeat_messages import (
    Digest,
    Heartbeat,
    KnownVms,
    MissingProfiles,
    Profile,
    ProfileRequest,
    RelayedTotals,
    VmLiveness,
    WorkspaceTotals,
)
from bramleybend.direct.members import (
    HEARTBEAT_TIMEOUT_S,
    MAX_HUBS_PER_DOMAIN,
    RELAYED_TIMEOUT_S,
    Member,
    Members,
)

# The time in which each hub of a domain sends one digest, and the answer.
REQUEST_RETRY_S: Final = 0.7
# With some tens of workspaces each, this many profiles and totals stay far
# below the size limit of a datagram.
MAX_VMS_PER_MESSAGE: Final = 16
MILLISECOND: Final = timedelta(milliseconds=1).total_seconds()


# Not frozen, with slots: one is made for most VMs of each digest, and a frozen
# one takes longer to make.
@dataclass(slots=True)
class DigestEntry:
    """The news of one VM in a digest."""

    profile: Profile
    heard_at: float  # when that VM sent its heartbeat
    member: Member | None  # none: the state in `Members` is up to date
    spent: RelayedTotals | None  # none: no totals in the digest


@dataclass(frozen=True)
class _Total:
    news: WorkspaceTotals
    sent_at: float  # by the VM itself
    changed_at: float  # when this VM received the change


class Digests:
    """The profiles and totals of the other VMs, to be relayed to VMs."""

    def __init__(self, members: Members) -> None:
        """Start without profiles and totals."""
        self._members = members
        # By profile key.
        self._profiles: dict[int, Profile] = {}
        self._added_at: dict[int, float] = {}
        # By VM and workspace.
        self._totals: dict[str, dict[str, _Total]] = defaultdict(dict)
        # VMs that have sent the totals of all workspaces.
        self._complete_vms: set[str] = set()
        # By VM, the time from which on its accounts are complete.
        self._complete_since: dict[str, float] = {}
        self._requested_at: dict[int, float] = {}  # by missing profile key

    def add_profile(self, profile: Profile, now: float) -> int:
        """Store a profile; returns its key."""
        key = profile.key
        self._requested_at.pop(key, None)
        if key not in self._profiles:
            self._profiles[key] = profile
            self._added_at[key] = now
        return key

    def update_totals(
        self,
        vm: str,
        report: Heartbeat | RelayedTotals,
        sent_at: float,
        now: float,
    ) -> list[WorkspaceTotals]:
        """Store a VM's totals; returns those that changed.

        `sent_at` is when the VM itself sent them. A total of which only the
        debts differ isn't a change. Totals older than the stored ones, as a
        slower hub may relay them, are ignored.
        """
        self._complete_since[vm] = now - report.accounts_s
        totals = self._totals[vm]
        changed = [
            news
            for news in report.totals
            if _is_change(totals.get(news.workspace), news, sent_at)
        ]
        for news in changed:
            totals[news.workspace] = _Total(news, sent_at, now)
        if report.tells_all:
            self._complete_vms.add(vm)
        return changed

    def remove(self, member: Member) -> None:
        """Drop the data of a VM that is gone or has restarted."""
        self._totals.pop(member.vm, None)
        self._complete_vms.discard(member.vm)
        self._complete_since.pop(member.vm, None)
        keys = [
            key
            for key, profile in self._profiles.items()
            if profile.incarnation == member.incarnation
        ]
        for key in keys:
            self._profiles.pop(key)
            self._added_at.pop(key)

    def changed_since(self, since: float) -> bool:
        """Tell whether a profile was added after a point in time."""
        return any(at > since for at in self._added_at.values())

    def make(
        self,
        members: Iterable[Member],
        now: float,
        since: float = -inf,
        skipped_part: int | None = None,
    ) -> Digest:
        """Make a digest of these VMs, with what changed after `since`.

        The VMs are divided into three parts by their keys. The totals of VMs
        in `skipped_part` are left out unless their profile is new.
        """
        listed = [member for member in members if member.key in self._profiles]
        fresh = [
            member for member in listed if self._added_at[member.key] > since
        ]
        spent = [
            self._spent(member, now, since)
            for member in listed
            if member.key % MAX_HUBS_PER_DOMAIN != skipped_part
            or self._added_at[member.key] > since
        ]
        return Digest(
            [VmLiveness(member.key, _age_ms(member, now)) for member in listed],
            [self._profiles[member.key] for member in fresh],
            [news for news in spent if news.totals or news.tells_all],
        )

    def make_first(
        self, before: Member | None, profile: Profile, now: float
    ) -> Digest:
        """Make the first digest for a VM that has just subscribed.

        It lists the VMs that are alive by their keys; the receiver requests
        the profiles that it lacks. A VM that becomes a hub would fill its link
        if it sent all profiles and totals to each VM of its domain.

        `before` is the receiver's state before it subscribed. If it was alive,
        it got its news from another hub; if it was silent, it also gets what
        changed since it was last heard.
        """
        alive = self._members.alive(now)
        since = now
        if before is not None and before.incarnation == profile.incarnation:
            if now - before.last_heard_at > HEARTBEAT_TIMEOUT_S:
                since = before.last_heard_at - RELAYED_TIMEOUT_S
        return self.make(alive, now, since)

    def known_vms(self) -> KnownVms:
        """List the profile keys of all VMs that this VM knows."""
        return KnownVms([member.key for member in self._members])

    def answer(
        self, message: ProfileRequest | KnownVms, sender: str, now: float
    ) -> Iterator[Digest | MissingProfiles]:
        """Return the profiles that a VM requests or doesn't know."""
        match message:
            case ProfileRequest():
                yield from self._digests_of_keys(message.keys, now)
            case KnownVms():
                missing = self._profiles_missing_in(message, sender, now)
                if missing:
                    yield MissingProfiles(missing[:MAX_VMS_PER_MESSAGE])

    def unknown_profiles(self, message: MissingProfiles) -> list[Profile]:
        """Return the profiles in a message of VMs unknown to this VM."""
        return [
            profile
            for profile in message.profiles
            if profile.vm != self._members.own.vm
            and not self._is_known(profile)
        ]

    def read(
        self, digest: Digest, received_at: float, now: float
    ) -> tuple[list[DigestEntry], list[int]]:
        """Read a digest; returns its news and the profile keys to request."""
        for profile in digest.profiles:
            self.add_profile(profile, now)
        spent = {news.key: news for news in digest.relayed_totals}
        known = [alive for alive in digest.alive if alive.key in self._profiles]
        entries = (
            self._entry(alive, spent.get(alive.key), received_at, now)
            for alive in known
        )
        unknown = [
            alive.key
            for alive in digest.alive
            if alive.key not in self._profiles
        ]
        news = [entry for entry in entries if entry is not None]
        return news, self._keys_to_request(unknown, now)

    def _entry(
        self,
        alive: VmLiveness,
        spent: RelayedTotals | None,
        received_at: float,
        now: float,
    ) -> DigestEntry | None:
        """Return the news of a VM, or `None` if there is none.

        A later heartbeat alone is no news; it is noted here in `Members`.
        """
        profile = self._profiles[alive.key]
        if profile.vm == self._members.own.vm:
            return None
        at = received_at - alive.age_ms * MILLISECOND
        known = self._members.get(profile.vm)
        if known is not None and known.refresh(alive.key, at, now):
            return DigestEntry(profile, at, None, spent) if spent else None
        if known is None or known.last_heard_at <= at:
            member = make_member(profile, alive.key, at, RELAYED_TIMEOUT_S)
            return DigestEntry(profile, at, member, spent)
        if known.incarnation == profile.incarnation and spent:
            return DigestEntry(profile, at, None, spent)
        return None

    def _keys_to_request(self, keys: Iterable[int], now: float) -> list[int]:
        """Return the keys that were not requested recently.

        Each hub of the domain lists a missing key, so without the pause every
        profile would be requested several times.
        """
        requested = [
            key
            for key in keys
            if now - self._requested_at.get(key, -inf) > REQUEST_RETRY_S
        ]
        self._requested_at.update(dict.fromkeys(requested, now))
        return requested

    def _digests_of_keys(
        self, keys: Sequence[int], now: float
    ) -> Iterator[Digest]:
        """Yield the profiles and totals of these keys in bounded digests."""
        for first in range(0, len(keys), MAX_VMS_PER_MESSAGE):
            wanted = set(keys[first : first + MAX_VMS_PER_MESSAGE])
            yield self.make(
                (member for member in self._members if member.key in wanted),
                now,
            )

    def _profiles_missing_in(
        self, known: KnownVms, sender: str, now: float
    ) -> list[Profile]:
        """Return the VMs that this VM hears and the sender doesn't know.

        VMs that the sender knows but doesn't hear are left out: it tries to
        contact them itself, and may have no path to them.
        """
        known_keys = set(known.keys)
        return [
            self._profiles[member.key]
            for member in self._members.alive(now)
            if member.key not in known_keys
            and member.vm != sender
            and member.key in self._profiles
        ]

    def _is_known(self, profile: Profile) -> bool:
        member = self._members.get(profile.vm)
        return member is not None and (
            member.incarnation == profile.incarnation
        )

    def _spent(self, member: Member, now: float, since: float) -> RelayedTotals:
        """Return a VM's changed totals; all totals if its profile is new."""
        is_new = self._added_at[member.key] > since
        totals = self._totals.get(member.vm, {})
        spendings = [
            total.news
            for total in totals.values()
            if is_new or total.changed_at > since
        ]
        return RelayedTotals(
            member.key,
            spendings,
            is_new and member.vm in self._complete_vms,
            now - self._complete_since.get(member.vm, -inf),
        )


def _is_change(
    known: _Total | None, news: WorkspaceTotals, sent_at: float
) -> bool:
    if known is None:
        return True
    if sent_at < known.sent_at:
        return False
    before = known.news
    return before.used != news.used or before.beyond != news.beyond


def make_member(
    profile: Profile, key: int, heard_at: float, timeout_s: float
) -> Member:
    """Make the member that a profile describes; it was heard at `heard_at`."""
    return Member(
        profile.vm,
        profile.incarnation,
        profile.address,
        profile.caller_endpoint,
        profile.ready,
        profile.leaving,
        heard_at,
        heard_at,
        profile.domain,
        profile.capacity,
        key,
        timeout_s,
        profile.unreached,
    )


def _age_ms(member: Member, now: float) -> int:
    return int(max(now - member.last_heard_at, 0) / MILLISECOND)
