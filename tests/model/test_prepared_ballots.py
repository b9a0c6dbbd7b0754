"""Ballots that a ledger's replicas promised beside the accept before, by scripted deliveries between real parts."""

import json

import pytest

from dewpin.cluster import store_messages as wire
from tests.model.ledger_model import VIEWS
from tests.model.ledger_parts import SenderPart, StorePart

BUDGET = 9
RESERVATIONS = (("reserve", "early", 2), ("reserve", "late", 2))


@pytest.mark.parametrize(("epoch", "first_round"), [(1, wire.LEDGER_ACCEPT), (2, wire.LEDGER_PREPARE)])
def test_prepared_ballot_is_used_only_in_epoch_of_its_promises(epoch, first_round):
    """The promises came from stores of that epoch's view; those of the next one have their own."""
    stores = {name: StorePart(name, VIEWS, 1, False) for name in "abc"}
    sender = SenderPart("p", VIEWS, RESERVATIONS, BUDGET, 0)
    texts, ended = sender.apply(("begin", 1))
    waiting = list(texts)
    while ended is None:
        text = waiting.pop(0)
        member = json.loads(text)["to"]
        texts, ended = sender.apply(("reply", member, stores[member].apply(("request", text))))
        waiting += texts
    assert ended[0] == "made"
    texts, _ = sender.apply(("begin", epoch))
    assert {json.loads(text)["type"] for text in texts} == {first_round}
