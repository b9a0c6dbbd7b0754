"""Checks that the retirement model reaches certain states, without which its properties would hold trivially."""

import json

from tests.model.retirement_model import RETURNED, RetirementModel, keys


def test_model_reaches_completed_retirement_after_wipe_and_replacement():
    model = RetirementModel(keys()["abd"])
    seen, waiting = {model.initial()}, [model.initial()]
    while waiting:
        after = {state for _, state in model.steps(waiting.pop())} - seen
        seen |= after
        waiting += after
    done = [state for state in seen if state.acknowledged and json.loads(state.system)["retired"] == ["machine-d"]]
    assert any(not state.wiped for state in done)
    replaced = [state for state in done if state.wiped_status == RETURNED and state.wiped == "a"]
    assert any(set(json.loads(state.system)["stores"]["stable"]) == {"A", "b", "c"} for state in replaced)
