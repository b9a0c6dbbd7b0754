"""Which change of members or stores is due: scripted knowledge of peers, at times of a clock made up here."""

import pytest
from controlplane.reconfiguration_scene import STARTED_S, Scene

from dewpin.controlplane.membership.cluster_observation import (
    REMOVAL_TIMEOUT_S,
    REPLACEMENT_JOINED_WITHIN_S,
    REPLACEMENT_TIMEOUT_S,
)
from dewpin.controlplane.membership.peers import PeerTable
from dewpin.controlplane.membership.reconfiguration import is_coordinator, next_change
from dewpin.controlplane.register.system_state import start_retirement, successor


def test_no_reconfiguration_while_all_peers_are_alive():
    assert Scene().step() == set()


def test_member_change_is_completed_first():
    scene = Scene()
    scene.state = {**scene.state, "former_members": {"a": "a:1", "b": "b:1", "x": "x:1"}}
    assert scene.step() == {"former_members"}


def test_initial_stores_are_set_once_enough_have_joined():
    scene = Scene(stores="")
    assert scene.step() == {"stores"}
    assert scene.stores == ["a", "b", "c"]


def test_fewer_initial_stores_are_set_only_after_wait():
    scene = Scene(members="abc", stores="", full=5)
    scene.now_s = STARTED_S + 1.0
    scene.hear("b", "c")
    assert scene.step() == set()
    scene.after(4.0, "b", "c")
    assert scene.step() == {"stores"}


def test_wiped_machine_replaces_its_former_incarnation():
    scene = Scene()
    scene.after(0.3, "b", "c2")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c2"], ["a", "b", "c2"])
    assert scene.state["stores"]["next"] is None


def test_new_process_replaces_former_incarnation_it_never_heard():
    scene = Scene()
    scene.peers = PeerTable()
    scene.hear("b", "c2")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c2"], ["a", "b", "c2"])


def test_silent_member_stays_without_spare():
    scene = Scene()
    scene.after(REMOVAL_TIMEOUT_S + 5, "b")
    assert scene.step() == set()
    assert (scene.members, scene.stores) == ("abc", ["a", "b", "c"])


def test_silent_member_is_replaced_by_spare_after_timeout():
    scene = Scene()
    scene.after(REPLACEMENT_TIMEOUT_S - 0.2, "b", "d")
    scene.step()
    assert scene.members == "abc"
    scene.after(0.4, "b", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abd", ["a", "b", "d"])


def test_member_is_replaced_at_once_by_same_name_at_new_address():
    scene = Scene()
    scene.after(1.2, "b")
    scene.hear("e", name="machine-c", address="e:1")
    scene.settle()
    assert (scene.members, scene.stores) == ("abe", ["a", "b", "e"])


@pytest.mark.parametrize("seen_from_the_machine_itself", [False, True])
def test_two_live_machines_with_one_name_are_both_kept(seen_from_the_machine_itself):
    scene = Scene()
    shared = "machine-a" if seen_from_the_machine_itself else "machine-c"
    scene.hear("e", name=shared, address="e:1")
    scene.settle()
    for _ in range(8):
        scene.after(0.1, "b")
        scene.hear("e", name=shared, address="e:1")
        assert scene.step() == set()
        scene.after(0.1, "b", "c")
        assert scene.step() == set()
    assert scene.members == "abc"
    assert scene.stores == ["a", "b", "c", "e"]


def test_planned_replacement_joins_before_old_store_is_removed():
    scene = Scene()
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abc", ["a", "b", "c", "d"])
    scene.after(2.0, "b", "d")
    scene.hear("c", leaving=True)
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"], "it may still be asked"
    scene.after(REPLACEMENT_TIMEOUT_S + 0.1, "b", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abd", ["a", "b", "d"])


def test_restarted_store_keeps_its_place():
    scene = Scene(members="abc", stores="abcd")
    scene.hear("d", leaving=True)
    scene.after(4.0, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_replacement_counts_for_one_machine_and_limited_time():
    scene = Scene()
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    scene.after(REPLACEMENT_JOINED_WITHIN_S, "b", "d")
    scene.hear("c", leaving=True)
    scene.after(REPLACEMENT_TIMEOUT_S + 0.1, "b", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]
    scene.after(REMOVAL_TIMEOUT_S, "b", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "d"]


def test_added_store_joins_store_view():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    assert scene.step() == {"stores", "names"}
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], ["a", "b", "c", "d"])
    assert scene.step() == set(), "nobody has copied yet"
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_members_are_added_one_at_a_time_up_to_replica_count():
    scene = Scene(full=5)
    scene.after(0.3, "b", "c", "d", "e", "f")
    assert scene.step() >= {"members"}
    assert scene.members == "abcd"
    scene.settle()
    assert scene.members == "abcde"


def test_store_change_ends_only_when_all_next_stores_have_synced():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    scene.step()
    epoch = scene.state["stores"]["epoch"]
    scene.synced = {"a": epoch, "b": epoch, "c": epoch, "d": epoch - 1}
    scene.hear("b", "c", "d")
    assert scene.step() == set()
    scene.synced["d"] = epoch
    scene.hear("d")
    assert scene.step() == {"stores"}
    assert scene.stores == ["a", "b", "c", "d"]


def test_joining_store_that_dies_during_change_is_removed():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    scene.step()
    scene.after(REPLACEMENT_TIMEOUT_S + 0.1, "b", "c")
    scene.settle()
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], [])


def test_joining_store_wiped_during_change_is_replaced_by_next_incarnation():
    scene = Scene()
    scene.after(0.3, "b", "c2")
    scene.settle(synced=False)
    assert scene.next_stores == ["a", "b", "c2"]
    scene.after(0.3, "b", "c3")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c3"], ["a", "b", "c3"])


def test_frozen_store_stays_and_removed_store_rejoins():
    scene = Scene(stores="abcd")
    scene.after(5.0, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]
    scene.after(REMOVAL_TIMEOUT_S, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c"]
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_no_store_is_removed_below_replica_count():
    scene = Scene()
    scene.after(REMOVAL_TIMEOUT_S + 1, "b")
    scene.settle()
    assert scene.stores == ["a", "b", "c"]


def test_retirement_removes_member_and_store_then_completes():
    scene = Scene(members="abc", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle()
    assert (scene.members, scene.stores) == ("acd", ["a", "c", "d"])
    assert (scene.state["retiring"], scene.state["retired"]) == ([], ["machine-b"])
    scene.after(0.3, "b", "c", "d")
    scene.settle()
    assert scene.stores == ["a", "c", "d"], "it is not taken in again"


def test_retirement_waits_until_other_stores_have_synced():
    scene = Scene(members="acd", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle(synced=False)
    assert scene.state["retiring"] == ["machine-b"] and scene.next_stores == ["a", "c", "d"]


def test_machine_wiped_after_retirement_is_replaced():
    scene = Scene(members="abc", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle()
    scene.after(0.3, "c2", "d")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "c2", "d"], ["a", "c2", "d"])


def test_live_member_with_least_id_coordinates():
    scene = Scene()
    assert is_coordinator(scene.state, scene.observation)
    scene.state = {**scene.state, "members": {"b": "b:1", "c": "c:1", "d": "d:1"}}
    assert not is_coordinator(scene.state, scene.observation), "a is no member"
    scene.state = {**scene.state, "members": {"A": "A:1", "a": "a:1", "b": "b:1"}}
    assert is_coordinator(scene.state, scene.observation), "A was never heard"
    scene.hear("A")
    assert not is_coordinator(scene.state, scene.observation)
    scene.after(1.5, "b")
    assert is_coordinator(scene.state, scene.observation)


def test_reconfiguration_planned_on_older_version_is_rejected():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    change = next_change(scene.state, scene.observation)
    with pytest.raises(Exception, match="planned on"):
        change(successor(scene.state))


def test_new_member_comes_from_zone_with_fewest_members():
    scene = Scene(full=5)
    for one, zone in (("b", "r/one"), ("c", "r/two"), ("d", "r/one"), ("e", "r/three"), ("f", "s/one")):
        scene.hear(one, location=zone)
    assert "members" in scene.step()
    assert "f" in scene.state["members"]


def test_store_view_contains_locations():
    scene = Scene(stores="")
    for one in "bc":
        scene.hear(one, location=f"r/{one}")
    scene.step()
    assert scene.state["stores"]["locations"] == {"a": "", "b": "r/b", "c": "r/c"}
    scene.synced = {"b": 1}
    scene.hear("d", location="r/d")
    scene.settle(synced=False)
    assert scene.state["stores"]["locations"]["d"] == "r/d"
    assert scene.state["stores"]["locations"]["c"] == "r/c"


def test_process_without_majority_does_not_coordinate():
    scene = Scene()
    assert is_coordinator(scene.state, scene.observation)
    scene.contact_since_s = None
    assert not is_coordinator(scene.state, scene.observation)


def test_next_member_coordinates_while_first_reports_no_majority():
    scene = Scene(members="0bc", stores="0bc")
    scene.state["members"] = {"0": "0:1", "a": "a:1", "c": "c:1"}
    assert not is_coordinator(scene.state, scene.observation)
    scene.hear("0", reaches_majority=False)
    assert is_coordinator(scene.state, scene.observation)


def test_silence_before_own_contact_removes_no_member():
    scene = Scene()
    scene.after(2 * REMOVAL_TIMEOUT_S, "d")
    scene.contact_since_s = scene.now_s - 0.5
    scene.synced = dict.fromkeys("abcd", scene.state["stores"]["epoch"])
    scene.step()
    assert scene.members == "abc" and {"a", "b", "c"} <= set(scene.next_stores or scene.stores)
    scene.contact_since_s = scene.now_s - REMOVAL_TIMEOUT_S - 1.0
    scene.settle()
    assert scene.members != "abc"
