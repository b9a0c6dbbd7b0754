"""Replicas and proposals of the register with scripted message delivery."""

import itertools
import random

import pytest

from dewpin.consensus import Accept, Accepted, Ballot, Conflict, Outcome, Prepare, Promise, Proposal, Replica
from dewpin.consensus.replica import ZERO_BALLOT

INITIAL_VALUE = {"version": 0, "members": ["a", "b", "c"], "former": ["a", "b", "c"]}


def quorum_sets(value):
    return [frozenset(value["members"]), frozenset(value["former"])]


def successor(value, **fields):
    return {**value, "version": value["version"] + 1, "former": value["members"], **fields}


class ReplicaGroup:
    """Replicas by name. Replicas in `down` receive no requests."""

    def __init__(self, *names):
        self.replicas = {name: Replica(value=INITIAL_VALUE if name in "abc" else None) for name in names}
        self.down = set()
        self.counters = itertools.count(1)

    def deliver(self, request):
        replica = self.replicas[request.member]
        if isinstance(request.body, Prepare):
            return replica.prepare(request.body.ballot)
        return replica.accept(request.body.ballot, request.body.value, request.body.next_ballot)

    def drive(self, proposal, is_lost=lambda request: False):
        requests = proposal.start()
        while requests and proposal.result is None:
            request = requests.pop(0)
            if request.member in self.down or is_lost(request):
                continue
            requests += proposal.receive(request.member, self.deliver(request))
        return proposal.result

    def propose(
        self, proposer, change, initial=INITIAL_VALUE, initial_ballot=ZERO_BALLOT, is_lost=lambda request: False
    ):
        proposal = Proposal(Ballot(next(self.counters), proposer), initial, quorum_sets, change, initial_ballot)
        return self.drive(proposal, is_lost)


def read(value):
    return value


def test_chosen_change_is_read_back():
    group = ReplicaGroup("a", "b", "c")
    assert group.propose("p", lambda value: successor(value, text="x")).outcome is Outcome.CHOSEN
    result = group.propose("q", read)
    assert result.value["text"] == "x"


def test_minority_chooses_no_value():
    group = ReplicaGroup("a", "b", "c")
    group.down = {"b", "c"}
    assert group.propose("p", lambda value: successor(value, text="x")) is None


def test_replica_rejects_ballots_below_its_promise():
    replica = Replica()
    assert isinstance(replica.prepare(Ballot(2, "p")), Promise)
    assert replica.accept(Ballot(1, "q"), "old") == Conflict(Ballot(2, "p"))
    assert replica.prepare(Ballot(2, "p")) == Conflict(Ballot(2, "p"))


def test_value_at_minority_is_finished_or_replaced_once():
    group = ReplicaGroup("a", "b", "c")
    partial_result = group.propose(
        "p",
        lambda value: successor(value, text="partial"),
        is_lost=lambda request: isinstance(request.body, Accept) and request.member != "a",
    )
    assert partial_result is None
    group.down = {"a"}
    assert group.propose("q", lambda value: successor(value, text="other")).value["text"] == "other"
    group.down = {"c"}
    assert group.propose("r", read).value["text"] == "other"


def test_read_finishes_unfinished_value():
    group = ReplicaGroup("a", "b", "c")
    group.propose(
        "p",
        lambda value: successor(value, text="partial"),
        is_lost=lambda request: isinstance(request.body, Accept) and request.member != "a",
    )
    group.down = {"c"}
    assert group.propose("q", read).outcome is Outcome.CHOSEN
    group.down = {"a"}
    assert group.propose("r", read).value["text"] == "partial"


def test_proposer_with_lower_ballot_gets_conflict():
    group = ReplicaGroup("a", "b", "c")
    for replica in group.replicas.values():
        replica.prepare(Ballot(9, "z"))
    result = group.propose("p", read)
    assert result.outcome is Outcome.CONFLICT and result.ballot == Ballot(9, "z")


def replace_member(value):
    return successor(value, members=["a", "b", "d"])


def test_member_change_needs_majorities_of_both_sets():
    group = ReplicaGroup("a", "b", "c", "d")
    group.down = {"c"}
    assert group.propose("p", replace_member).outcome is Outcome.CHOSEN
    group.down = {"a", "c"}  # b and d are a majority of the new members, but not of the former ones
    assert group.propose("q", read) is None


def test_value_needs_majorities_of_sets_of_previous_value():
    """Even if the new value omits them: a reader that uses the former sets would otherwise miss the new value."""

    def only_members(value):
        return [frozenset(value["members"])]

    proposal = Proposal(
        Ballot(1, "p"), INITIAL_VALUE, only_members, lambda value: {**value, "members": ["c", "d", "e"]}, ZERO_BALLOT
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
    group = ReplicaGroup("a", "b", "c", "d")
    group.propose(
        "p", replace_member, is_lost=lambda request: isinstance(request.body, Accept) and request.member != "a"
    )
    result = group.propose("q", lambda value: successor(value, text="x"))
    assert result.outcome is Outcome.CONFIRMED and result.value["members"] == ["a", "b", "d"]
    holders = {name for name, replica in group.replicas.items() if replica.accepted == result.ballot}
    assert len(holders & {"a", "b", "c"}) >= 2 and len(holders & {"a", "b", "d"}) >= 2
    assert group.propose("q", lambda value: successor(value, text="x")).outcome is Outcome.CHOSEN


def test_proposer_with_old_members_finds_newest_members():
    group = ReplicaGroup("a", "b", "c", "d", "e")
    assert group.propose("p", replace_member).outcome is Outcome.CHOSEN
    assert group.propose("p", successor).outcome is Outcome.CHOSEN
    assert group.propose("p", lambda value: successor(value, members=["a", "d", "e"])).outcome is Outcome.CHOSEN
    assert group.propose("p", lambda value: successor(value, text="new")).outcome is Outcome.CHOSEN
    group.down = {"c"}
    result = group.propose("q", read)
    assert result.value["text"] == "new" and result.value["members"] == ["a", "d", "e"]


def test_prepared_proposal_skips_first_round():
    group = ReplicaGroup("a", "b", "c")
    first = Proposal(Ballot(1, "p"), INITIAL_VALUE, quorum_sets, successor, ZERO_BALLOT, next_ballot=Ballot(2, "p"))
    result = group.drive(first)
    second = Proposal(
        Ballot(2, "p"),
        result.value,
        quorum_sets,
        lambda value: successor(value, text="y"),
        result.ballot,
        prepared=True,
    )
    assert all(isinstance(request.body, Accept) for request in second.start())
    assert group.drive(second).value["text"] == "y"


def test_overtaken_prepared_proposal_gets_conflict():
    group = ReplicaGroup("a", "b", "c")
    result = group.drive(
        Proposal(Ballot(1, "p"), INITIAL_VALUE, quorum_sets, successor, ZERO_BALLOT, next_ballot=Ballot(2, "p"))
    )
    next(group.counters), next(group.counters)
    group.propose("q", lambda value: successor(value, text="q"))
    stale = Proposal(Ballot(2, "p"), result.value, quorum_sets, successor, result.ballot, prepared=True)
    assert group.drive(stale).outcome is Outcome.CONFLICT


@pytest.mark.parametrize("order", list(itertools.permutations("abc")))
def test_two_proposers_choose_one_value_per_version_in_any_order(order):
    group = ReplicaGroup("a", "b", "c")
    first = Proposal(Ballot(1, "p"), INITIAL_VALUE, quorum_sets, lambda value: successor(value, text="p"), ZERO_BALLOT)
    second = Proposal(Ballot(1, "q"), INITIAL_VALUE, quorum_sets, lambda value: successor(value, text="q"), ZERO_BALLOT)
    queue = {"p": (first, first.start()), "q": (second, second.start())}
    for member in order * 8:
        for proposal, requests in queue.values():
            for request in [candidate for candidate in requests if candidate.member == member]:
                requests.remove(request)
                requests += proposal.receive(member, group.deliver(request))
    chosen = [
        proposal.result.value["text"]
        for proposal, _ in queue.values()
        if proposal.result and proposal.result.outcome is Outcome.CHOSEN
    ]
    assert len(chosen) <= 1
    result = group.propose("r", read) or group.propose("r", read)
    if chosen and result.value:
        assert result.value["text"] == chosen[0]


@pytest.mark.parametrize(("known", "is_told"), [(None, True), (Ballot(1, "p"), True), (Ballot(2, "p"), False)])
def test_promise_omits_value_not_above_known_ballot(known, is_told):
    replica = Replica(accepted=Ballot(2, "p"), promised=Ballot(2, "p"), value="value")
    assert replica.prepare(Ballot(3, "q"), known) == Promise(Ballot(2, "p"), "value" if is_told else None)
    assert Replica(accepted=Ballot(1, "p"), value="old").prepare(Ballot(3, "q"), known).value in (None, "old")


class RandomReplicaGroup(ReplicaGroup):
    """Proposers with values of any age and random loss of requests. `omits_known` omits known values from promises."""

    def __init__(self, seed, omits_known):
        super().__init__("a", "b", "c", "d")
        self.random = random.Random(seed)
        self.omits_known = omits_known
        self.known = dict.fromkeys("pq", (INITIAL_VALUE, ZERO_BALLOT))

    def deliver(self, request):
        replica = self.replicas[request.member]
        if isinstance(request.body, Prepare):
            return replica.prepare(request.body.ballot, request.body.known if self.omits_known else None)
        return super().deliver(request)

    def step(self):
        proposer, loss_rate = self.random.choice("pq"), self.random.choice([0.0, 0.2, 0.5])
        text = self.random.random()
        change = self.random.choice([read, replace_member, lambda value: successor(value, text=text)])
        result = self.propose(
            proposer, change, *self.known[proposer], is_lost=lambda request: self.random.random() < loss_rate
        )
        if result is not None and result.outcome is not Outcome.CONFLICT and self.random.random() < 0.7:
            self.known[proposer] = result.value, result.ballot
        return result


@pytest.mark.parametrize("seed", range(200))
def test_proposal_result_is_independent_of_omitted_values(seed):
    with_all_values, without_known_values = (
        RandomReplicaGroup(seed, omits_known=False),
        RandomReplicaGroup(seed, omits_known=True),
    )
    for _ in range(30):
        assert with_all_values.step() == without_known_values.step()
        assert with_all_values.replicas == without_known_values.replicas
