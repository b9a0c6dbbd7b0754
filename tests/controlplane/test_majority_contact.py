"""What heartbeats prove: scripted answers, at times made up here."""

import pytest

from dewpin.controlplane.membership.majority_contact import (
    CONTACT_WITHIN_S,
    NEVER_S,
    MajorityContact,
    MemberAcknowledgement,
)
from dewpin.controlplane.register.system_state import initial_state

VERSION = 7


def state_of(members="abc", former=None, version=VERSION):
    state = initial_state({one: one for one in members}, {})
    return {**state, "version": version, "former_members": {one: one for one in former or members}}


class Scene:
    """The process `a`."""

    def __init__(self, **fields):
        self.contact = MajorityContact("a")
        self.state = state_of(**fields)
        self.own_accepted = VERSION

    def answered(self, member, asked_s, accepted=VERSION, now_s=None):
        self.contact.record_acknowledgement(member, MemberAcknowledgement(asked_s, accepted))
        return self.update(asked_s if now_s is None else now_s)

    def update(self, now_s):
        self.contact.update(self.state, self.own_accepted, now_s)
        return self.contact.confirmed_at_s


def test_state_is_unconfirmed_without_acknowledgements():
    assert Scene().update(100.0) == NEVER_S


def test_single_member_confirms_its_own_state():
    assert Scene(members="a").update(100.0) == 100.0


def test_state_is_confirmed_as_of_when_majority_was_asked():
    assert Scene().answered("b", 100.0, now_s=103.0) == 100.0


def test_oldest_request_of_the_majority_sets_time_of_confirmation():
    scene = Scene(members="abcde")
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("c", 101.0) == 100.0
    assert scene.answered("d", 102.0) == 101.0


def test_confirmation_needs_majority_of_former_members():
    scene = Scene(members="abd", former="axy")
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("x", 99.0, now_s=100.0) == 99.0


def test_acknowledgements_of_non_members_are_ignored():
    scene = Scene()
    assert scene.answered("z", 100.0) == NEVER_S
    assert scene.answered("old-b", 100.0) == NEVER_S


def test_acknowledgements_of_non_members_are_not_stored():
    scene = Scene()
    for number in range(100):
        scene.answered(f"stranger-{number}", 100.0 + number)
    assert not scene.contact._acknowledgements


def test_newer_accepted_version_of_a_member_leaves_state_unconfirmed():
    scene = Scene()
    assert scene.answered("b", 100.0) == 100.0
    scene.answered("b", 101.0, accepted=VERSION + 1)
    assert scene.answered("c", 101.0, accepted=VERSION + 1) == 100.0
    scene.state = state_of(version=VERSION + 1)
    assert scene.update(101.5) == 101.0


def test_majority_confirms_although_one_member_accepted_newer_version():
    scene = Scene()
    scene.answered("b", 101.0, accepted=VERSION + 1)
    assert scene.answered("c", 101.0) == 101.0


def test_own_replica_with_newer_version_does_not_confirm():
    scene = Scene()
    scene.own_accepted = VERSION + 1
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("c", 101.0) == 100.0


def test_acknowledgement_without_version_counts_as_contact_only():
    scene = Scene()
    assert scene.answered("b", 100.0, accepted=None) == NEVER_S
    assert scene.contact.contact_since_s(100.0) == 100.0


def test_acknowledgement_of_earlier_request_is_ignored_after_later_one():
    scene = Scene()
    scene.answered("b", 101.0)
    assert scene.answered("b", 100.0, now_s=101.0) == 101.0


def test_quorum_read_confirms_as_of_its_start():
    scene = Scene()
    scene.contact.record_quorum_read(50.0)
    assert scene.update(60.0) == 50.0


def test_contact_restarts_after_majority_was_lost():
    scene = Scene()
    for tenth in range(0, 50, 5):
        scene.answered("b", 100.0 + tenth / 10)
    assert scene.contact.contact_since_s(104.5) == 100.0
    assert scene.contact.contact_since_s(104.5 + 2 * CONTACT_WITHIN_S) is None
    scene.answered("c", 110.0)
    assert scene.contact.contact_since_s(110.0) == 110.0


@pytest.mark.parametrize("frozen_s", [2.0, 30.0])
def test_acknowledgements_before_freeze_show_no_contact_after_it(frozen_s):
    scene = Scene()
    scene.answered("b", 100.0)
    scene.answered("b", 100.2, now_s=100.2 + frozen_s)
    assert scene.contact.contact_since_s(100.2 + frozen_s) is None
