"""The register's replicas and proposals, by scripted deliveries."""

import itertools
import random

import pytest

from dewpin.consensus import Accept, Accepted, Ballot, Conflict, Outcome, Prepare, Promise, Proposal, Replica
from dewpin.consensus.replica import ZERO_BALLOT

GENESIS = {"version": 0, "members": ["a", "b", "c"], "former": ["a", "b", "c"]}


def sets(value):
    return [frozenset(value["members"]), frozenset(value["former"])]


def successor(value, **fields):
    return {**value, "version": value["version"] + 1, "former": value["members"], **fields}


class Fleet:
    """Replicas by name; `down` ones get nothing."""

    def __init__(self, *names):
        self.replicas = {name: Replica(value=GENESIS if name in "abc" else None) for name in names}
        self.down = set()
        self.counters = itertools.count(1)

    def deliver(self, request):
        replica = self.replicas[request.member]
        if isinstance(request.body, Prepare):
            return replica.prepare(request.body.ballot)
        return replica.accept(request.body.ballot, request.body.value, request.body.next_ballot)

    def drive(self, proposal, lost=lambda request: False):
        requests = proposal.start()
        while requests and proposal.result is None:
            request = requests.pop(0)
            if request.member in self.down or lost(request):
                continue
            requests += proposal.receive(request.member, self.deliver(request))
        return proposal.result

    def propose(self, who, change, initial=GENESIS, initial_ballot=ZERO_BALLOT, lost=lambda request: False):
        proposal = Proposal(Ballot(next(self.counters), who), initial, sets, change, initial_ballot)
        return self.drive(proposal, lost)


def read(value):
    return value


def test_chosen_change_is_read_back():
    fleet = Fleet("a", "b", "c")
    assert fleet.propose("p", lambda value: successor(value, word="x")).outcome is Outcome.CHOSEN
    result = fleet.propose("q", read)
    assert result.value["word"] == "x"


def test_minority_chooses_no_value():
    fleet = Fleet("a", "b", "c")
    fleet.down = {"b", "c"}
    assert fleet.propose("p", lambda value: successor(value, word="x")) is None


def test_replica_rejects_ballots_below_its_promise():
    replica = Replica()
    assert isinstance(replica.prepare(Ballot(2, "p")), Promise)
    assert replica.accept(Ballot(1, "q"), "old") == Conflict(Ballot(2, "p"))
    assert replica.prepare(Ballot(2, "p")) == Conflict(Ballot(2, "p"))


def test_value_at_minority_is_finished_or_replaced_once():
    fleet = Fleet("a", "b", "c")
    only_a = fleet.propose(
        "p",
        lambda value: successor(value, word="half"),
        lost=lambda request: isinstance(request.body, Accept) and request.member != "a",
    )
    assert only_a is None
    fleet.down = {"a"}
    assert fleet.propose("q", lambda value: successor(value, word="other")).value["word"] == "other"
    fleet.down = {"c"}
    assert fleet.propose("r", read).value["word"] == "other"


def test_read_finishes_unfinished_value():
    fleet = Fleet("a", "b", "c")
    fleet.propose(
        "p",
        lambda value: successor(value, word="half"),
        lost=lambda request: isinstance(request.body, Accept) and request.member != "a",
    )
    fleet.down = {"c"}
    assert fleet.propose("q", read).outcome is Outcome.CHOSEN
    fleet.down = {"a"}
    assert fleet.propose("r", read).value["word"] == "half"


def test_proposer_with_lower_ballot_gets_conflict():
    fleet = Fleet("a", "b", "c")
    for replica in fleet.replicas.values():
        replica.prepare(Ballot(9, "z"))
    result = fleet.propose("p", read)
    assert result.outcome is Outcome.CONFLICT and result.ballot == Ballot(9, "z")


def swap(value):
    return successor(value, members=["a", "b", "d"])


def test_member_change_needs_majorities_of_both_sets():
    fleet = Fleet("a", "b", "c", "d")
    fleet.down = {"c"}
    assert fleet.propose("p", swap).outcome is Outcome.CHOSEN
    fleet.down = {"a", "c"}  # b and d: a majority of the new members, none of the former ones
    assert fleet.propose("q", read) is None


def test_value_needs_majorities_of_sets_of_previous_value():
    """Also where the new value does not name them: whoever reads by the former sets would miss it otherwise."""

    def only_members(value):
        return [frozenset(value["members"])]

    proposal = Proposal(
        Ballot(1, "p"), GENESIS, only_members, lambda value: {**value, "members": ["c", "d", "e"]}, ZERO_BALLOT
    )
    proposal.start()
    for member in "ab":
        requests = proposal.receive(member, Promise(ZERO_BALLOT, None, False))
    assert {request.member for request in requests} == set("abcde")
    for member in "de":
        proposal.receive(member, Accepted(Ballot(1, "p")))
    assert proposal.result is None
    for member in "ab":
        proposal.receive(member, Accepted(Ballot(1, "p")))
    assert proposal.result is not None and proposal.result.outcome is Outcome.CHOSEN


def test_unfinished_member_change_is_confirmed_first():
    fleet = Fleet("a", "b", "c", "d")
    fleet.propose("p", swap, lost=lambda request: isinstance(request.body, Accept) and request.member != "a")
    result = fleet.propose("q", lambda value: successor(value, word="x"))
    assert result.outcome is Outcome.CONFIRMED and result.value["members"] == ["a", "b", "d"]
    holders = {name for name, replica in fleet.replicas.items() if replica.accepted == result.ballot}
    assert len(holders & {"a", "b", "c"}) >= 2 and len(holders & {"a", "b", "d"}) >= 2
    assert fleet.propose("q", lambda value: successor(value, word="x")).outcome is Outcome.CHOSEN


def test_proposer_with_old_members_finds_newest_members():
    fleet = Fleet("a", "b", "c", "d", "e")
    assert fleet.propose("p", swap).outcome is Outcome.CHOSEN
    assert fleet.propose("p", successor).outcome is Outcome.CHOSEN
    assert fleet.propose("p", lambda v: successor(v, members=["a", "d", "e"])).outcome is Outcome.CHOSEN
    assert fleet.propose("p", lambda v: successor(v, word="new")).outcome is Outcome.CHOSEN
    fleet.down = {"c"}
    result = fleet.propose("q", read)
    assert result.value["word"] == "new" and result.value["members"] == ["a", "d", "e"]


def test_prepared_proposal_skips_first_round():
    fleet = Fleet("a", "b", "c")
    first = Proposal(Ballot(1, "p"), GENESIS, sets, successor, ZERO_BALLOT, next_ballot=Ballot(2, "p"))
    result = fleet.drive(first)
    second = Proposal(
        Ballot(2, "p"), result.value, sets, lambda value: successor(value, word="y"), result.ballot, prepared=True
    )
    assert all(isinstance(request.body, Accept) for request in second.start())
    assert fleet.drive(second).value["word"] == "y"


def test_overtaken_prepared_proposal_gets_conflict():
    fleet = Fleet("a", "b", "c")
    result = fleet.drive(Proposal(Ballot(1, "p"), GENESIS, sets, successor, ZERO_BALLOT, next_ballot=Ballot(2, "p")))
    next(fleet.counters), next(fleet.counters)
    fleet.propose("q", lambda value: successor(value, word="q"))
    late = Proposal(Ballot(2, "p"), result.value, sets, successor, result.ballot, prepared=True)
    assert fleet.drive(late).outcome is Outcome.CONFLICT


@pytest.mark.parametrize("order", list(itertools.permutations("abc")))
def test_two_proposers_choose_one_value_per_version_in_any_order(order):
    fleet = Fleet("a", "b", "c")
    first = Proposal(Ballot(1, "p"), GENESIS, sets, lambda v: successor(v, word="p"), ZERO_BALLOT)
    second = Proposal(Ballot(1, "q"), GENESIS, sets, lambda v: successor(v, word="q"), ZERO_BALLOT)
    queue = {"p": (first, first.start()), "q": (second, second.start())}
    for member in order * 8:
        for proposal, requests in queue.values():
            for request in [one for one in requests if one.member == member]:
                requests.remove(request)
                requests += proposal.receive(member, fleet.deliver(request))
    chosen = [
        proposal.result.value["word"]
        for proposal, _ in queue.values()
        if proposal.result and proposal.result.outcome is Outcome.CHOSEN
    ]
    assert len(chosen) <= 1
    result = fleet.propose("r", read) or fleet.propose("r", read)
    if chosen and result.value:
        assert result.value["word"] == chosen[0]


@pytest.mark.parametrize(("known", "is_told"), [(None, True), (Ballot(1, "p"), True), (Ballot(2, "p"), False)])
def test_promise_omits_value_not_above_known_ballot(known, is_told):
    replica = Replica(accepted=Ballot(2, "p"), promised=Ballot(2, "p"), value="value")
    assert replica.prepare(Ballot(3, "q"), known) == Promise(Ballot(2, "p"), "value" if is_told else None)
    assert Replica(accepted=Ballot(1, "p"), value="old").prepare(Ballot(3, "q"), known).value in (None, "old")


class RandomFleet(Fleet):
    """Proposers that know values of any age, requests lost at random; `tells` leaves known values out of promises."""

    def __init__(self, seed, tells):
        super().__init__("a", "b", "c", "d")
        self.random = random.Random(seed)
        self.tells = tells
        self.known = dict.fromkeys("pq", (GENESIS, ZERO_BALLOT))

    def deliver(self, request):
        replica = self.replicas[request.member]
        if isinstance(request.body, Prepare):
            return replica.prepare(request.body.ballot, request.body.known if self.tells else None)
        return super().deliver(request)

    def step(self):
        who, losses = self.random.choice("pq"), self.random.choice([0.0, 0.2, 0.5])
        word = self.random.random()
        change = self.random.choice([read, swap, lambda value: successor(value, word=word)])
        result = self.propose(who, change, *self.known[who], lost=lambda request: self.random.random() < losses)
        if result is not None and result.outcome is not Outcome.CONFLICT and self.random.random() < 0.7:
            self.known[who] = result.value, result.ballot
        return result


@pytest.mark.parametrize("seed", range(200))
def test_proposal_result_is_independent_of_omitted_values(seed):
    full, lean = RandomFleet(seed, tells=False), RandomFleet(seed, tells=True)
    for _ in range(30):
        assert full.step() == lean.step()
        assert full.replicas == lean.replicas
