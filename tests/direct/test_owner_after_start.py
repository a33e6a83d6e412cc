"""Who orders an engine service's work right after VMs have started."""

from collections.abc import Iterable
from typing import Final

from bramleybend.direct.members import SETTLE_S, Member, Members, Self

SERVICE: Final = 'lm'
VMS: Final = tuple(f'vm-{number}' for number in range(20))
NOW: Final = 100.0


def member_of(vm: str, since: float, *, ready: bool = True) -> Member:
    """Return a VM that was first heard at a time."""
    return Member(vm, 'i', vm, f'{vm}:80', ready, False, NOW, since)


def members_at(own: str, others: Iterable[Member]) -> Members:
    """Return what one VM knows of others."""
    members = Members(Self(own, 'i', own, f'{own}:80'))
    for other in others:
        members.heard(other)
    return members


def owner_at(members: Members) -> str:
    """Return whom a VM that is ready itself takes for the owner."""
    owner = members.owner(SERVICE, NOW, able=True)
    return owner.vm if owner else members.own.vm


def test_all_vms_that_start_at_once_agree_on_an_owner() -> None:
    """Each by itself, all would start their work at the same runners."""
    owners = set()
    for own in VMS:
        others = (member_of(vm, NOW) for vm in VMS if vm != own)
        owners.add(owner_at(members_at(own, others)))
    assert len(owners) == 1


def test_a_vm_that_starts_asks_the_owner_at_once() -> None:
    """By itself, it would give away slots that others have filled."""
    known = [member_of(vm, NOW - 60) for vm in VMS]
    first = owner_at(members_at('vm-x', known))
    assert first != 'vm-x'
    just_heard = [member_of(vm, NOW) for vm in VMS]
    assert owner_at(members_at('vm-x', just_heard)) == first


def test_a_vm_that_starts_is_asked_nothing_while_others_have_settled() -> None:
    """It doesn't know yet what runs where."""
    known = [member_of(vm, NOW - 60) for vm in VMS]
    first = owner_at(members_at('vm-x', known))
    restarted = [
        member_of(vm, NOW - SETTLE_S / 2 if vm == first else NOW - 60)
        for vm in VMS
    ]
    assert owner_at(members_at('vm-x', restarted)) not in {first, 'vm-x'}


def test_a_vm_that_is_not_ready_is_never_asked() -> None:
    """It doesn't know the runners."""
    known = [member_of(vm, NOW, ready=False) for vm in VMS]
    assert owner_at(members_at('vm-x', known)) == 'vm-x'
