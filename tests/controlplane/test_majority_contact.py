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


def test_nothing_is_confirmed_by_this_process_alone():
    assert Scene().update(100.0) == NEVER_S


def test_a_register_of_one_member_is_confirmed_at_any_time():
    assert Scene(members="a").update(100.0) == 100.0


def test_knowledge_is_confirmed_as_of_when_the_majority_was_asked():
    assert Scene().answered("b", 100.0, now_s=103.0) == 100.0


def test_the_member_of_the_majority_that_was_asked_longest_ago_counts():
    scene = Scene(members="abcde")
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("c", 101.0) == 100.0
    assert scene.answered("d", 102.0) == 101.0


def test_former_members_have_to_confirm_as_well():
    scene = Scene(members="abd", former="axy")
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("x", 99.0, now_s=100.0) == 99.0


def test_a_former_incarnation_and_strangers_count_for_nothing():
    scene = Scene()
    assert scene.answered("z", 100.0) == NEVER_S
    assert scene.answered("old-b", 100.0) == NEVER_S


def test_what_others_than_members_said_is_not_kept():
    scene = Scene()
    for number in range(100):
        scene.answered(f"stranger-{number}", 100.0 + number)
    assert not scene.contact._acknowledgements


def test_a_newer_version_that_a_member_accepted_leaves_what_is_held_here_unconfirmed():
    scene = Scene()
    assert scene.answered("b", 100.0) == 100.0
    scene.answered("b", 101.0, accepted=VERSION + 1)
    assert scene.answered("c", 101.0, accepted=VERSION + 1) == 100.0
    scene.state = state_of(version=VERSION + 1)
    assert scene.update(101.5) == 101.0


def test_one_member_that_accepted_a_newer_version_does_not_stop_the_majority():
    scene = Scene()
    scene.answered("b", 101.0, accepted=VERSION + 1)
    assert scene.answered("c", 101.0) == 101.0


def test_the_own_replica_does_not_confirm_what_it_holds_a_newer_version_of():
    scene = Scene()
    scene.own_accepted = VERSION + 1
    assert scene.answered("b", 100.0) == NEVER_S
    assert scene.answered("c", 101.0) == 100.0


def test_an_answer_that_tells_no_version_shows_contact_and_confirms_nothing():
    scene = Scene()
    assert scene.answered("b", 100.0, accepted=None) == NEVER_S
    assert scene.contact.contact_since_s(100.0) == 100.0


def test_an_answer_overtaken_by_a_later_one_changes_nothing():
    scene = Scene()
    scene.answered("b", 101.0)
    assert scene.answered("b", 100.0, now_s=101.0) == 101.0


def test_a_read_confirms_as_of_its_beginning():
    scene = Scene()
    scene.contact.record_quorum_read(50.0)
    assert scene.update(60.0) == 50.0


def test_contact_lasts_while_a_majority_answers_and_begins_anew_after_a_break():
    scene = Scene()
    for tenth in range(0, 50, 5):
        scene.answered("b", 100.0 + tenth / 10)
    assert scene.contact.contact_since_s(104.5) == 100.0
    assert scene.contact.contact_since_s(104.5 + 2 * CONTACT_WITHIN_S) is None
    scene.answered("c", 110.0)
    assert scene.contact.contact_since_s(110.0) == 110.0


@pytest.mark.parametrize("frozen_s", [2.0, 30.0])
def test_answers_from_before_a_freeze_show_no_contact_after_it(frozen_s):
    scene = Scene()
    scene.answered("b", 100.0)
    scene.answered("b", 100.2, now_s=100.2 + frozen_s)
    assert scene.contact.contact_since_s(100.2 + frozen_s) is None
