"""Variants of `TermsState` that each lack a safeguard; all must fail."""

from typing import Final

from bramleybend.state.terms_records import (
    PublishRecord,
    RenewRecord,
    encode_renew,
)
from bramleybend.state.terms_rules import (
    Applied,
    Ignored,
    PublishConflict,
    Renewed,
    TermsState,
)


class _AcceptsAnyRenewal(TermsState):
    """Mutant: a renewal is valid at any offset."""

    def _apply_renewal(
        self, offset: int, record: RenewRecord
    ) -> Renewed | Ignored:
        moved = record.model_copy(update={'at': offset})
        return super()._apply_renewal(offset, moved)


class _IgnoresGaps(TermsState):
    """Mutant: applies records after a gap."""

    def advance_first_offset(self, first_offset: int) -> None:
        self.next_offset = max(self.next_offset, first_offset)


class _AcceptsAnyBase(TermsState):
    """Mutant: accepts a publish that is based on any version."""

    def _apply_publish(self, record: PublishRecord) -> Applied | Ignored:
        moved = record.model_copy(update={'base': self.version})
        return super()._apply_publish(moved)


class _AdoptsAnyState(TermsState):
    """Mutant: adopts the terms of a peer that has read less."""

    def adopt_peer_state(
        self, version: int, next_offset: int, document: str
    ) -> bool:
        self._set_state(version, next_offset, document)
        return True


class _ReportsUnknownWinner(TermsState):
    """Mutant: reports a conflict without knowing the winner."""

    def _ignore_conflict(self, record: PublishRecord) -> Ignored:
        self._record_outcome(
            record.publish_id, PublishConflict('?', '?', self.version)
        )
        return super()._ignore_conflict(record)


class _RenewsWithGaps(TermsState):
    """Mutant: renews its terms after a gap."""

    def build_renewal(self) -> str | None:
        if not self.version:
            return None
        at = max(self.next_offset, self._first_offset)
        return encode_renew(self.version, self.document, at)


TERMS_VARIANTS: Final[dict[str, type[TermsState]]] = {
    '': TermsState,
    'a renewal counts wherever it lands': _AcceptsAnyRenewal,
    'a VM overlooks records it has missed': _IgnoresGaps,
    'the last publish wins': _AcceptsAnyBase,
    'a VM takes over older terms from a peer': _AdoptsAnyState,
    'a publish is lost to nobody': _ReportsUnknownWinner,
    'a VM renews what it cannot vouch for': _RenewsWithGaps,
}
