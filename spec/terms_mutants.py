"""`TermsLog` with one safeguard off each; the checker must reject them all."""

from typing import Final

from bramleybend.state.terms_records import (
    PublishRecord,
    RenewRecord,
    encode_renew,
)
from bramleybend.state.terms_rules import (
    Applied,
    Ignored,
    Lost,
    Renewed,
    TermsLog,
)


class _TrustsRenewals(TermsLog):
    """Mutant: a renewal counts wherever it lands."""

    def _renew(self, offset: int, record: RenewRecord) -> Renewed | Ignored:
        moved = record.model_copy(update={'at': offset})
        return super()._renew(offset, moved)


class _OverlooksGaps(TermsLog):
    """Mutant: applies records although earlier ones were missed."""

    def see_first_offset(self, first_offset: int) -> None:
        self.position = max(self.position, first_offset)


class _LastWins(TermsLog):
    """Mutant: accepts a publish whatever it is based on."""

    def _publish(self, record: PublishRecord) -> Applied | Ignored:
        moved = record.model_copy(update={'base': self.version})
        return super()._publish(moved)


class _LearnsAnything(TermsLog):
    """Mutant: takes a peer's terms over although it has read further."""

    def learn(self, version: int, position: int, document: str) -> bool:
        self._adopt(version, position, document)
        return True


class _NamesNoWinner(TermsLog):
    """Mutant: says `lost` without knowing who won."""

    def _lose(self, record: PublishRecord) -> Ignored:
        self._settle(record.publish_id, Lost('?', '?', self.version))
        return super()._lose(record)


class _VouchesBlindly(TermsLog):
    """Mutant: renews what it holds although it has missed records."""

    def renewal(self) -> str | None:
        if not self.version:
            return None
        at = max(self.position, self._first_offset)
        return encode_renew(self.version, self.document, at)


TABLE: Final[dict[str, type[TermsLog]]] = {
    '': TermsLog,
    'a renewal counts wherever it lands': _TrustsRenewals,
    'a VM overlooks records it has missed': _OverlooksGaps,
    'the last publish wins': _LastWins,
    'a VM takes over older terms from a peer': _LearnsAnything,
    'a publish is lost to nobody': _NamesNoWinner,
    'a VM renews what it cannot vouch for': _VouchesBlindly,
}
