"""Scripted deliveries in which stores copy a ledger value that was never chosen during a view change."""

from scripted.disk import MemoryDisk

from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Accept, Ballot, Outcome, Prepare, Proposal
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.store import ledger_replica
from dewpin.dataplane.programs import ledger

PROGRAM = "program"
NOW_MS = 0
EARLY_SENDER = Ballot(5, "early")
LATE_SENDER = Ballot(6, "late")


def members(names):
    return tuple(Member(name, f"{name}:1") for name in names)


STABLE_VIEW = StoreView(1, members("abc"))
CHANGING_VIEW = StoreView(2, members("abc"), members("abd"))


class Ledgers:
    """The replicas of one program's ledger, each on a disk of its own."""

    def __init__(self, names):
        self.disks = {name: MemoryDisk().connection for name in names}

    def answer(self, request):
        """The addressed member's reply to a proposal's request."""
        connection, body = self.disks[request.member], request.body
        if isinstance(body, Prepare):
            return ledger_replica.prepare(connection, PROGRAM, body.ballot, NOW_MS)
        return ledger_replica.accept(connection, PROGRAM, body.ballot, body.value, body.next_ballot, NOW_MS)

    def copy(self, source, target):
        """Copies the ledger as a new replica does during a view change."""
        records = ledger_replica.read_page(self.disks[source], "", 10)
        ledger_replica.merge(self.disks[target], records, NOW_MS)

    def run(self, view, ballot, change, first_round, second_round):
        """Runs one ballot whose rounds reach only the given members. Returns its result."""
        sets = view.write_sets(PROGRAM, 3)
        proposal = Proposal(ballot, None, lambda value: sets, change, ZERO_BALLOT)
        requests = proposal.start()
        while requests and proposal.result is None:
            request = requests.pop(0)
            reached = first_round if isinstance(request.body, Prepare) else second_round
            if request.member in reached:
                assert not isinstance(request.body, Accept) or request.member in second_round
                requests += proposal.receive(request.member, self.answer(request))
        return proposal.result


def test_copied_unchosen_value_is_not_read_as_chosen():
    """Guards against counting copies as votes; found by code review and by the ledger model. The early sender's value
    is only at a, the late sender's only at c. After b and d have copied it from a, the early value appears to be
    accepted by majorities of {a, b, c} and {a, b, d}."""
    ledgers = Ledgers("abcd")
    reserve_early, reserve_late = ledger.reserve("early", 2, 3), ledger.reserve("late", 2, 3)
    assert ledgers.run(STABLE_VIEW, EARLY_SENDER, reserve_early, "ab", "a") is None
    assert ledgers.run(STABLE_VIEW, LATE_SENDER, reserve_late, "bc", "c") is None
    ledgers.copy("a", "b")
    ledgers.copy("a", "d")
    ledgers.copy("b", "d")
    again = ledgers.run(CHANGING_VIEW, Ballot(7, "early"), reserve_early, "abd", "abd")
    while again is not None and again.outcome is Outcome.CONFIRMED:
        again = ledgers.run(CHANGING_VIEW, Ballot(8, "early"), reserve_early, "abd", "abd")
    assert again is not None and "early" in again.value["open"]
    read = ledgers.run(CHANGING_VIEW, Ballot(9, "late"), ledger.read, "bcd", "bcd")
    assert read is not None and "early" in read.value["open"], "an acknowledged reservation is lost"
