"""Planning of member and store changes, with scripted peers and a simulated clock."""

import pytest
from controlplane.reconfiguration_scene import STARTED_S, Scenario

from dewpin.controlplane.membership.cluster_observation import (
    REMOVAL_TIMEOUT_S,
    REPLACEMENT_JOINED_WITHIN_S,
    REPLACEMENT_TIMEOUT_S,
)
from dewpin.controlplane.membership.peers import PeerTable
from dewpin.controlplane.membership.reconfiguration import is_coordinator, next_change
from dewpin.controlplane.register.system_state import start_retirement, successor


def test_no_reconfiguration_while_all_peers_are_alive():
    assert Scenario().apply_next_change() == set()


def test_member_change_is_completed_first():
    scenario = Scenario()
    scenario.state = {**scenario.state, "former_members": {"a": "a:1", "b": "b:1", "x": "x:1"}}
    assert scenario.apply_next_change() == {"former_members"}


def test_initial_stores_are_set_once_enough_have_joined():
    scenario = Scenario(stores="")
    assert scenario.apply_next_change() == {"stores"}
    assert scenario.stores == ["a", "b", "c"]


def test_fewer_initial_stores_are_set_only_after_wait():
    scenario = Scenario(members="abc", stores="", replica_count=5)
    scenario.now_s = STARTED_S + 1.0
    scenario.receive_heartbeats("b", "c")
    assert scenario.apply_next_change() == set()
    scenario.advance(4.0, "b", "c")
    assert scenario.apply_next_change() == {"stores"}


def test_wiped_machine_replaces_its_former_incarnation():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c2")
    scenario.apply_all_changes()
    assert (sorted(scenario.state["members"]), scenario.stores) == (["a", "b", "c2"], ["a", "b", "c2"])
    assert scenario.state["stores"]["next"] is None


def test_new_process_replaces_former_incarnation_it_never_heard():
    scenario = Scenario()
    scenario.peers = PeerTable()
    scenario.receive_heartbeats("b", "c2")
    scenario.apply_all_changes()
    assert (sorted(scenario.state["members"]), scenario.stores) == (["a", "b", "c2"], ["a", "b", "c2"])


def test_silent_member_stays_without_spare():
    scenario = Scenario()
    scenario.advance(REMOVAL_TIMEOUT_S + 5, "b")
    assert scenario.apply_next_change() == set()
    assert (scenario.members, scenario.stores) == ("abc", ["a", "b", "c"])


def test_silent_member_is_replaced_by_spare_after_timeout():
    scenario = Scenario()
    scenario.advance(REPLACEMENT_TIMEOUT_S - 0.2, "b", "d")
    scenario.apply_next_change()
    assert scenario.members == "abc"
    scenario.advance(0.4, "b", "d")
    scenario.apply_all_changes()
    assert (scenario.members, scenario.stores) == ("abd", ["a", "b", "d"])


def test_member_is_replaced_at_once_by_same_name_at_new_address():
    scenario = Scenario()
    scenario.advance(1.2, "b")
    scenario.receive_heartbeats("e", name="machine-c", address="e:1")
    scenario.apply_all_changes()
    assert (scenario.members, scenario.stores) == ("abe", ["a", "b", "e"])


@pytest.mark.parametrize("seen_from_the_machine_itself", [False, True])
def test_two_live_machines_with_one_name_are_both_kept(seen_from_the_machine_itself):
    scenario = Scenario()
    shared_name = "machine-a" if seen_from_the_machine_itself else "machine-c"
    scenario.receive_heartbeats("e", name=shared_name, address="e:1")
    scenario.apply_all_changes()
    for _ in range(8):
        scenario.advance(0.1, "b")
        scenario.receive_heartbeats("e", name=shared_name, address="e:1")
        assert scenario.apply_next_change() == set()
        scenario.advance(0.1, "b", "c")
        assert scenario.apply_next_change() == set()
    assert scenario.members == "abc"
    assert scenario.stores == ["a", "b", "c", "e"]


def test_planned_replacement_joins_before_old_store_is_removed():
    scenario = Scenario()
    scenario.advance(1.0, "b", "c", "d")
    scenario.apply_all_changes()
    assert (scenario.members, scenario.stores) == ("abc", ["a", "b", "c", "d"])
    scenario.advance(2.0, "b", "d")
    scenario.receive_heartbeats("c", is_leaving=True)
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"], "it may still serve requests until the timeout"
    scenario.advance(REPLACEMENT_TIMEOUT_S + 0.1, "b", "d")
    scenario.apply_all_changes()
    assert (scenario.members, scenario.stores) == ("abd", ["a", "b", "d"])


def test_restarted_store_keeps_its_place():
    scenario = Scenario(members="abc", stores="abcd")
    scenario.receive_heartbeats("d", is_leaving=True)
    scenario.advance(4.0, "b", "c")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"]


def test_replacement_counts_for_one_machine_and_limited_time():
    scenario = Scenario()
    scenario.advance(1.0, "b", "c", "d")
    scenario.apply_all_changes()
    scenario.advance(REPLACEMENT_JOINED_WITHIN_S, "b", "d")
    scenario.receive_heartbeats("c", is_leaving=True)
    scenario.advance(REPLACEMENT_TIMEOUT_S + 0.1, "b", "d")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"]
    scenario.advance(REMOVAL_TIMEOUT_S, "b", "d")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "d"]


def test_added_store_joins_store_view():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c", "d")
    assert scenario.apply_next_change() == {"stores", "names"}
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c"], ["a", "b", "c", "d"])
    assert scenario.apply_next_change() == set(), "no store has synced yet"
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"]


def test_members_are_added_one_at_a_time_up_to_replica_count():
    scenario = Scenario(replica_count=5)
    scenario.advance(0.3, "b", "c", "d", "e", "f")
    assert scenario.apply_next_change() >= {"members"}
    assert scenario.members == "abcd"
    scenario.apply_all_changes()
    assert scenario.members == "abcde"


def test_store_change_ends_only_when_all_next_stores_have_synced():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c", "d")
    scenario.apply_next_change()
    epoch = scenario.state["stores"]["epoch"]
    scenario.synced = {"a": epoch, "b": epoch, "c": epoch, "d": epoch - 1}
    scenario.receive_heartbeats("b", "c", "d")
    assert scenario.apply_next_change() == set()
    scenario.synced["d"] = epoch
    scenario.receive_heartbeats("d")
    assert scenario.apply_next_change() == {"stores"}
    assert scenario.stores == ["a", "b", "c", "d"]


def test_joining_store_that_dies_during_change_is_removed():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c", "d")
    scenario.apply_next_change()
    scenario.advance(REPLACEMENT_TIMEOUT_S + 0.1, "b", "c")
    scenario.apply_all_changes()
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c"], [])


def test_joining_store_wiped_during_change_is_replaced_by_next_incarnation():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c2")
    scenario.apply_all_changes(synced=False)
    assert scenario.next_stores == ["a", "b", "c2"]
    scenario.advance(0.3, "b", "c3")
    scenario.apply_all_changes()
    assert (sorted(scenario.state["members"]), scenario.stores) == (["a", "b", "c3"], ["a", "b", "c3"])


def test_frozen_store_stays_and_removed_store_rejoins():
    scenario = Scenario(stores="abcd")
    scenario.advance(5.0, "b", "c")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"]
    scenario.advance(REMOVAL_TIMEOUT_S, "b", "c")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c"]
    scenario.advance(1.0, "b", "c", "d")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c", "d"]


def test_no_store_is_removed_below_replica_count():
    scenario = Scenario()
    scenario.advance(REMOVAL_TIMEOUT_S + 1, "b")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c"]


def test_retirement_removes_member_and_store_then_completes():
    scenario = Scenario(members="abc", stores="abcd")
    scenario.state = start_retirement("machine-b", 3)(scenario.state)
    scenario.apply_all_changes()
    assert (scenario.members, scenario.stores) == ("acd", ["a", "c", "d"])
    assert (scenario.state["retiring"], scenario.state["retired"]) == ([], ["machine-b"])
    scenario.advance(0.3, "b", "c", "d")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "c", "d"], "a retired machine does not rejoin"


def test_retirement_waits_until_other_stores_have_synced():
    scenario = Scenario(members="acd", stores="abcd")
    scenario.state = start_retirement("machine-b", 3)(scenario.state)
    scenario.apply_all_changes(synced=False)
    assert scenario.state["retiring"] == ["machine-b"] and scenario.next_stores == ["a", "c", "d"]


def test_machine_wiped_after_retirement_is_replaced():
    scenario = Scenario(members="abc", stores="abcd")
    scenario.state = start_retirement("machine-b", 3)(scenario.state)
    scenario.apply_all_changes()
    scenario.advance(0.3, "c2", "d")
    scenario.apply_all_changes()
    assert (sorted(scenario.state["members"]), scenario.stores) == (["a", "c2", "d"], ["a", "c2", "d"])


def test_live_member_with_least_id_coordinates():
    scenario = Scenario()
    assert is_coordinator(scenario.state, scenario.observation)
    scenario.state = {**scenario.state, "members": {"b": "b:1", "c": "c:1", "d": "d:1"}}
    assert not is_coordinator(scenario.state, scenario.observation), "a is not a member"
    scenario.state = {**scenario.state, "members": {"A": "A:1", "a": "a:1", "b": "b:1"}}
    assert is_coordinator(scenario.state, scenario.observation), "no heartbeat was received from A"
    scenario.receive_heartbeats("A")
    assert not is_coordinator(scenario.state, scenario.observation)
    scenario.advance(1.5, "b")
    assert is_coordinator(scenario.state, scenario.observation)


def test_reconfiguration_planned_on_older_version_is_rejected():
    scenario = Scenario()
    scenario.advance(0.3, "b", "c", "d")
    change = next_change(scenario.state, scenario.observation)
    with pytest.raises(Exception, match="planned on"):
        change(successor(scenario.state))


def test_new_member_comes_from_zone_with_fewest_members():
    scenario = Scenario(replica_count=5)
    for peer_id, zone in (("b", "r/one"), ("c", "r/two"), ("d", "r/one"), ("e", "r/three"), ("f", "s/one")):
        scenario.receive_heartbeats(peer_id, location=zone)
    assert "members" in scenario.apply_next_change()
    assert "f" in scenario.state["members"]


def test_store_view_contains_locations():
    scenario = Scenario(stores="")
    for peer_id in "bc":
        scenario.receive_heartbeats(peer_id, location=f"r/{peer_id}")
    scenario.apply_next_change()
    assert scenario.state["stores"]["locations"] == {"a": "", "b": "r/b", "c": "r/c"}
    scenario.synced = {"b": 1}
    scenario.receive_heartbeats("d", location="r/d")
    scenario.apply_all_changes(synced=False)
    assert scenario.state["stores"]["locations"]["d"] == "r/d"
    assert scenario.state["stores"]["locations"]["c"] == "r/c"


def test_process_without_majority_does_not_coordinate():
    scenario = Scenario()
    assert is_coordinator(scenario.state, scenario.observation)
    scenario.contact_since_s = None
    assert not is_coordinator(scenario.state, scenario.observation)


def test_next_member_coordinates_while_first_reports_no_majority():
    scenario = Scenario(members="0bc", stores="0bc")
    scenario.state["members"] = {"0": "0:1", "a": "a:1", "c": "c:1"}
    assert not is_coordinator(scenario.state, scenario.observation)
    scenario.receive_heartbeats("0", reaches_majority=False)
    assert is_coordinator(scenario.state, scenario.observation)


def test_silence_before_own_contact_removes_no_member():
    scenario = Scenario()
    scenario.advance(2 * REMOVAL_TIMEOUT_S, "d")
    scenario.contact_since_s = scenario.now_s - 0.5
    scenario.synced = dict.fromkeys("abcd", scenario.state["stores"]["epoch"])
    scenario.apply_next_change()
    assert scenario.members == "abc" and {"a", "b", "c"} <= set(scenario.next_stores or scenario.stores)
    scenario.contact_since_s = scenario.now_s - REMOVAL_TIMEOUT_S - 1.0
    scenario.apply_all_changes()
    assert scenario.members != "abc"
