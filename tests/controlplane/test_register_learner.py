"""The learner of the register: whose addresses it keeps while members are replaced again and again."""

from dewpin.consensus import Ballot
from dewpin.controlplane.register.learner import RegisterLearner


class Bodies:
    """Configurations are not looked at here."""

    def add(self, state):
        pass


def learner():
    return RegisterLearner(Bodies(), lambda state: None)


def state(version, members, former=()):
    return {
        "version": version,
        "members": {member: f"10.0.0.{member}" for member in members},
        "former_members": {member: f"10.0.0.{member}" for member in former},
    }


def test_addresses_stay_bounded_over_a_thousand_replaced_members():
    known = learner()
    for version in range(1, 1001):
        known.learn_addresses(state(version, (version + 1, version + 2)))
        known.record_chosen(Ballot(version, "a"), state(version, (version, version + 1)))
    assert known.addresses() == {"10.0.0.1000", "10.0.0.1001"}


def test_addresses_of_former_members_stay_until_the_change_of_members_ends():
    known = learner()
    known.record_chosen(Ballot(1, "a"), state(1, (2, 3), former=(1, 2)))
    assert known.address_of(1) == "10.0.0.1"
    known.record_chosen(Ballot(2, "a"), state(2, (2, 3)))
    assert known.address_of(1) is None


def test_address_of_a_proposed_member_is_known_until_a_newer_state_is_chosen():
    known = learner()
    known.record_chosen(Ballot(1, "a"), state(1, (1, 2)))
    known.learn_addresses(state(2, (2, 3)))
    assert known.address_of(3) == "10.0.0.3"
    known.record_chosen(Ballot(2, "b"), state(2, (1, 2)))
    assert known.address_of(3) is None


def test_late_word_of_an_older_state_brings_no_address_back():
    known = learner()
    known.record_chosen(Ballot(2, "a"), state(2, (2, 3)))
    known.learn_addresses(state(1, (1, 2)))
    known.record_chosen(Ballot(1, "a"), state(1, (1, 2)))
    assert known.address_of(1) is None
    assert known.addresses() == {"10.0.0.2", "10.0.0.3"}


def test_newest_value_decides_the_address_of_a_member():
    known = learner()
    moved = state(3, (1, 2)) | {"members": {1: "10.0.0.9"}}
    known.learn_addresses(moved)
    known.learn_addresses(state(2, (1, 2)))
    assert known.address_of(1) == "10.0.0.9"
