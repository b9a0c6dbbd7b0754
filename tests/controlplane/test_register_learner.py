"""The register's learner: which addresses it keeps while members are replaced repeatedly."""

from dewpin.consensus import Ballot
from dewpin.controlplane.register.learner import RegisterLearner


class Bodies:
    """Ignores configuration bodies, which these tests do not use."""

    def add(self, state):
        pass


def new_learner():
    return RegisterLearner(Bodies(), lambda state: None)


def state(version, members, former=()):
    return {
        "version": version,
        "members": {member: f"10.0.0.{member}" for member in members},
        "former_members": {member: f"10.0.0.{member}" for member in former},
    }


def test_addresses_stay_bounded_over_a_thousand_replaced_members():
    learner = new_learner()
    for version in range(1, 1001):
        learner.learn_addresses(state(version, (version + 1, version + 2)))
        learner.record_chosen(Ballot(version, "a"), state(version, (version, version + 1)))
    assert learner.addresses() == {"10.0.0.1000", "10.0.0.1001"}


def test_addresses_of_former_members_stay_until_the_change_of_members_ends():
    learner = new_learner()
    learner.record_chosen(Ballot(1, "a"), state(1, (2, 3), former=(1, 2)))
    assert learner.address_of(1) == "10.0.0.1"
    learner.record_chosen(Ballot(2, "a"), state(2, (2, 3)))
    assert learner.address_of(1) is None


def test_address_of_a_proposed_member_is_known_until_a_newer_state_is_chosen():
    learner = new_learner()
    learner.record_chosen(Ballot(1, "a"), state(1, (1, 2)))
    learner.learn_addresses(state(2, (2, 3)))
    assert learner.address_of(3) == "10.0.0.3"
    learner.record_chosen(Ballot(2, "b"), state(2, (1, 2)))
    assert learner.address_of(3) is None


def test_delayed_older_state_restores_no_address():
    learner = new_learner()
    learner.record_chosen(Ballot(2, "a"), state(2, (2, 3)))
    learner.learn_addresses(state(1, (1, 2)))
    learner.record_chosen(Ballot(1, "a"), state(1, (1, 2)))
    assert learner.address_of(1) is None
    assert learner.addresses() == {"10.0.0.2", "10.0.0.3"}


def test_newest_value_decides_the_address_of_a_member():
    learner = new_learner()
    moved = state(3, (1, 2)) | {"members": {1: "10.0.0.9"}}
    learner.learn_addresses(moved)
    learner.learn_addresses(state(2, (1, 2)))
    assert learner.address_of(1) == "10.0.0.9"
