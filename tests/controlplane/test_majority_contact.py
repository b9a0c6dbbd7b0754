"""Conclusions from heartbeat replies, with scripted acknowledgements and times."""

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
    state = initial_state({member: member for member in members}, {})
    return {**state, "version": version, "former_members": {member: member for member in former or members}}


class Scenario:
    """The majority contact of member `a`."""

    def __init__(self, **fields):
        self.contact = MajorityContact("a")
        self.state = state_of(**fields)
        self.own_accepted_version = VERSION

    def acknowledge(self, member, sent_s, accepted_version=VERSION, now_s=None):
        self.contact.record_acknowledgement(member, MemberAcknowledgement(sent_s, accepted_version))
        return self.update(sent_s if now_s is None else now_s)

    def update(self, now_s):
        self.contact.update(self.state, self.own_accepted_version, now_s)
        return self.contact.confirmed_at_s


def test_state_is_unconfirmed_without_acknowledgements():
    assert Scenario().update(100.0) == NEVER_S


def test_single_member_confirms_its_own_state():
    assert Scenario(members="a").update(100.0) == 100.0


def test_state_is_confirmed_as_of_when_majority_was_asked():
    assert Scenario().acknowledge("b", 100.0, now_s=103.0) == 100.0


def test_oldest_request_of_the_majority_sets_time_of_confirmation():
    scenario = Scenario(members="abcde")
    assert scenario.acknowledge("b", 100.0) == NEVER_S
    assert scenario.acknowledge("c", 101.0) == 100.0
    assert scenario.acknowledge("d", 102.0) == 101.0


def test_confirmation_needs_majority_of_former_members():
    scenario = Scenario(members="abd", former="axy")
    assert scenario.acknowledge("b", 100.0) == NEVER_S
    assert scenario.acknowledge("x", 99.0, now_s=100.0) == 99.0


def test_acknowledgements_of_non_members_are_ignored():
    scenario = Scenario()
    assert scenario.acknowledge("z", 100.0) == NEVER_S
    assert scenario.acknowledge("old-b", 100.0) == NEVER_S


def test_acknowledgements_of_non_members_are_not_stored():
    scenario = Scenario()
    for number in range(100):
        scenario.acknowledge(f"stranger-{number}", 100.0 + number)
    assert not scenario.contact._acknowledgements


def test_newer_accepted_version_of_a_member_leaves_state_unconfirmed():
    scenario = Scenario()
    assert scenario.acknowledge("b", 100.0) == 100.0
    scenario.acknowledge("b", 101.0, accepted_version=VERSION + 1)
    assert scenario.acknowledge("c", 101.0, accepted_version=VERSION + 1) == 100.0
    scenario.state = state_of(version=VERSION + 1)
    assert scenario.update(101.5) == 101.0


def test_majority_confirms_although_one_member_accepted_newer_version():
    scenario = Scenario()
    scenario.acknowledge("b", 101.0, accepted_version=VERSION + 1)
    assert scenario.acknowledge("c", 101.0) == 101.0


def test_own_replica_with_newer_version_does_not_confirm():
    scenario = Scenario()
    scenario.own_accepted_version = VERSION + 1
    assert scenario.acknowledge("b", 100.0) == NEVER_S
    assert scenario.acknowledge("c", 101.0) == 100.0


def test_acknowledgement_without_version_counts_as_contact_only():
    scenario = Scenario()
    assert scenario.acknowledge("b", 100.0, accepted_version=None) == NEVER_S
    assert scenario.contact.contact_since_s(100.0) == 100.0


def test_acknowledgement_of_earlier_request_is_ignored_after_later_one():
    scenario = Scenario()
    scenario.acknowledge("b", 101.0)
    assert scenario.acknowledge("b", 100.0, now_s=101.0) == 101.0


def test_quorum_read_confirms_as_of_its_start():
    scenario = Scenario()
    scenario.contact.record_quorum_read(50.0)
    assert scenario.update(60.0) == 50.0


def test_contact_restarts_after_majority_was_lost():
    scenario = Scenario()
    for tenth in range(0, 50, 5):
        scenario.acknowledge("b", 100.0 + tenth / 10)
    assert scenario.contact.contact_since_s(104.5) == 100.0
    assert scenario.contact.contact_since_s(104.5 + 2 * CONTACT_WITHIN_S) is None
    scenario.acknowledge("c", 110.0)
    assert scenario.contact.contact_since_s(110.0) == 110.0


@pytest.mark.parametrize("frozen_s", [2.0, 30.0])
def test_acknowledgements_before_freeze_show_no_contact_after_it(frozen_s):
    scenario = Scenario()
    scenario.acknowledge("b", 100.0)
    scenario.acknowledge("b", 100.2, now_s=100.2 + frozen_s)
    assert scenario.contact.contact_since_s(100.2 + frozen_s) is None
