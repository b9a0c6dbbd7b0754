"""Scripted deliveries between real registers: a member change accepted only by a majority of the new members."""

import json

from tests.model.register_model import _on_one_line
from tests.model.register_parts import ProcessPart

MOST_BALLOTS = 9
REPLACE_C, CONFIGURATION_X, READ = ("members", "abd"), ("put", 1, 0, "x"), ("read",)


class Registers:
    """Processes with the operations that each performs in turn; `results`: the system states that they returned."""

    def __init__(self, **operations):
        self._parts = {name: ProcessPart(name, operations.get(name, ()), MOST_BALLOTS) for name in "abcd"}
        self.results = []

    def run(self, proposer, first_round, second_round):
        """Runs the proposer's next operation in one ballot whose rounds reach only the given members. Returns its
        outcome."""
        part = self._parts[proposer]
        texts, ended = part.apply(("begin", 0))
        waiting = [json.loads(text) for text in texts]
        while waiting and ended is None:
            message = waiting.pop(0)
            if message["to"] not in (first_round if message["type"] == "register.prepare" else second_round):
                continue
            answer = self._parts[message["to"]].apply(("request", json.dumps(message)))
            texts, ended = part.apply(("reply", message["to"], answer))
            waiting += [json.loads(text) for text in texts]
        if ended is None:
            _, ended = part.apply(("time_out",))
        outcome, state = ended
        if state is not None:
            self.results.append(json.loads(state))
        return outcome


def test_member_change_unknown_to_former_members_is_not_read_as_chosen():
    """Guards against quorum sets without the former members; found by the model. The change is at a and d, a majority
    of {a, b, d}; b and c, a majority of {a, b, c}, do not know of it."""
    registers = Registers(a=(READ, READ), b=(REPLACE_C, CONFIGURATION_X))
    assert registers.run("b", "ab", "ad") == "unclear"
    registers.run("a", "ad", "ad")
    assert registers.run("b", "bc", "bc") == "made"
    assert registers.run("a", "abc", "abc") == "made"
    assert all(_on_one_line(one, other) for one in registers.results for other in registers.results), "two histories"
    assert registers.results[-1]["accepted"], "an acknowledged configuration is lost"
