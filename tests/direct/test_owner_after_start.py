"""The owner of an engine service right after VMs have started."""

from collections.abc import Iterable
from typing import Final

from bramleybend.direct.members import OWNER_MIN_AGE_S, Member, Members, OwnVm

SERVICE: Final = 'lm'
VMS: Final = tuple(f'vm-{number}' for number in range(20))
NOW: Final = 100.0


def make_member(vm: str, since: float, *, ready: bool = True) -> Member:
    """Return a member that was first heard at a time."""
    return Member(vm, 'i', vm, f'{vm}:80', ready, False, NOW, since)


def make_members(own: str, others: Iterable[Member]) -> Members:
    """Return the members that one VM knows."""
    members = Members(OwnVm(own, 'i', own, f'{own}:80'))
    for other in others:
        members.update(other)
    return members


def owner_seen_by(members: Members) -> str:
    """Return the VM that a ready VM considers the owner."""
    owner = members.owner(SERVICE, NOW, can_own=True)
    return owner.vm if owner else members.own.vm


def test_all_vms_that_start_at_once_agree_on_an_owner() -> None:
    """If VMs had no common owner, they would overload the same runners."""
    owners = set()
    for own in VMS:
        others = (make_member(vm, NOW) for vm in VMS if vm != own)
        owners.add(owner_seen_by(make_members(own, others)))
    assert len(owners) == 1


def test_a_vm_that_starts_asks_the_owner_at_once() -> None:
    """If it scheduled on its own, it would grant slots that are in use."""
    known = [make_member(vm, NOW - 60) for vm in VMS]
    first = owner_seen_by(make_members('vm-x', known))
    assert first != 'vm-x'
    just_started = [make_member(vm, NOW) for vm in VMS]
    assert owner_seen_by(make_members('vm-x', just_started)) == first


def test_a_vm_that_starts_is_asked_nothing_while_others_have_settled() -> None:
    """A VM that has just started doesn't know yet which slots are in use."""
    known = [make_member(vm, NOW - 60) for vm in VMS]
    first = owner_seen_by(make_members('vm-x', known))
    restarted = [
        make_member(vm, NOW - OWNER_MIN_AGE_S / 2 if vm == first else NOW - 60)
        for vm in VMS
    ]
    assert owner_seen_by(make_members('vm-x', restarted)) not in {first, 'vm-x'}


def test_a_vm_that_is_not_ready_is_never_asked() -> None:
    """A VM that is not ready doesn't know the runners."""
    known = [make_member(vm, NOW, ready=False) for vm in VMS]
    assert owner_seen_by(make_members('vm-x', known)) == 'vm-x'
