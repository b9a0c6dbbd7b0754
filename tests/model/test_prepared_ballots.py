"""Scripted deliveries between real components: ballots that replicas promised together with the previous accept."""

import json

import pytest

from dewpin.cluster import store_messages as wire
from tests.model.ledger_model import VIEWS
from tests.model.ledger_parts import SenderPart, StorePart

BUDGET = 9
RESERVATIONS = (("reserve", "early", 2), ("reserve", "late", 2))


@pytest.mark.parametrize(("epoch", "first_round"), [(1, wire.LEDGER_ACCEPT), (2, wire.LEDGER_PREPARE)])
def test_prepared_ballot_is_used_only_in_epoch_of_its_promises(epoch, first_round):
    """The promises are valid only in the epoch in which they were made: the next view has other stores."""
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
