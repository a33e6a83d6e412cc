"""Tests that models hold, reach their witnesses, and reject each mutant."""

import pytest

from spec.__main__ import MODELS
from spec.checking import Model, check, find_witnesses

MUTANTS = [
    pytest.param(model, mutant, id=f'{model.name}: {mutant}')
    for model in MODELS
    for mutant in model.mutants
]


@pytest.mark.parametrize('model', MODELS, ids=lambda model: model.name)
def test_model_holds_in_every_reachable_state(model: Model) -> None:
    report = check(model)

    assert report.exhaustive
    assert report.traces == {}


@pytest.mark.parametrize('model', MODELS, ids=lambda model: model.name)
def test_model_reaches_its_witnesses(model: Model) -> None:
    assert find_witnesses(model).traces.keys() == model.witnesses.keys()


@pytest.mark.parametrize(('model', 'mutant'), MUTANTS)
def test_mutant_is_rejected(model: Model, mutant: str) -> None:
    assert check(model, mutant).traces
