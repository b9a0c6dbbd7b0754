"""Planning of member and store changes while machines freeze, return, leave and fail concurrently."""

import pytest
from controlplane.reconfiguration_scene import Scenario

from dewpin.controlplane.membership.cluster_observation import REMOVAL_TIMEOUT_S, REPLACEMENT_TIMEOUT_S
from dewpin.controlplane.register.system_state import start_retirement

# Repeatedly freezing machines


def freeze(scenario, peer_id, other_ids, duration_s=2.0):
    """Freezes and resumes one process. Returns the number of resulting changes."""
    changes = 0
    for _ in range(round(duration_s / 0.25)):
        scenario.advance(0.25, *other_ids)
        changes += apply_and_count_changes(scenario)
    for _ in range(12):
        scenario.advance(0.25, *other_ids, peer_id)
        changes += apply_and_count_changes(scenario)
    return changes


def apply_and_count_changes(scenario):
    before = scenario.state["version"]
    scenario.apply_all_changes(synced=False)
    return scenario.state["version"] - before


def test_repeatedly_frozen_member_is_replaced_once():
    scenario = Scenario(members="abcde", stores="abcdef", replica_count=5)
    scenario.receive_heartbeats("f")
    change_counts = [freeze(scenario, "c", "bdef")]
    assert scenario.members == "abdef"
    for frozen in ("f", "c", "f", "c", "d", "d", "d"):
        change_counts.append(freeze(scenario, frozen, [peer_id for peer_id in "bcdef" if peer_id != frozen]))
    total_changes = sum(change_counts)
    assert total_changes <= 3 * 2, "c, f and d were replaced once each, with two versions per replacement"


def scenario_after_freezes(times):
    """Returns a scenario in which `c` froze a number of times and is a member again."""
    scenario = Scenario(members="abcde", stores="abcdef", replica_count=5)
    scenario.receive_heartbeats("f")
    for _ in range(times):
        freeze(scenario, "c", "bdef")
    scenario.state = {**scenario.state, "members": {peer_id: f"{peer_id}:1" for peer_id in "abcde"}}
    scenario.state = {**scenario.state, "former_members": scenario.state["members"]}
    return scenario


def test_lost_machine_is_replaced_soon_despite_interruptions():
    scenario = scenario_after_freezes(6)
    scenario.advance(0.3, "b", "d", "e", "f", "c2")
    scenario.apply_all_changes()
    assert sorted(scenario.state["members"]) == ["a", "b", "c2", "d", "e"], "the machine runs as another incarnation"


def test_replacement_timeout_is_bounded_by_removal_timeout():
    scenario = scenario_after_freezes(8)
    scenario.advance(REMOVAL_TIMEOUT_S - 0.5, "b", "d", "e", "f")
    scenario.apply_all_changes()
    assert scenario.members == "abcde"
    scenario.advance(0.6, "b", "d", "e", "f")
    scenario.apply_all_changes()
    assert scenario.members == "abdef"


@pytest.mark.parametrize("steady_s, replaced", [(50, False), (70, True)])
def test_interruptions_are_forgotten_after_a_minute(steady_s, replaced):
    scenario = Scenario(members="abcde", stores="abcde", replica_count=5)
    freeze(scenario, "d", "bce")
    assert scenario.members == "abcde", "there is no spare"
    for _ in range(2 * steady_s):
        scenario.advance(0.5, *"bcdef")
    scenario.advance(REPLACEMENT_TIMEOUT_S + 0.1, *"bcef")
    scenario.apply_all_changes(synced=False)
    assert scenario.members == ("abcef" if replaced else "abcde")


def test_repeatedly_frozen_store_restarts_copy_once():
    scenario = Scenario(members="abc", stores="abcd", replica_count=3)
    scenario.receive_heartbeats("e")
    scenario.apply_next_change()
    assert scenario.next_stores == ["a", "b", "c", "d", "e"]
    epochs = [scenario.state["stores"]["epoch"]]
    for _ in range(4):
        for _ in range(8):
            scenario.advance(0.25, "b", "c", "e")
            scenario.apply_all_changes(synced=False)
        for _ in range(8):
            scenario.advance(0.25, "b", "c", "d", "e")
            scenario.apply_all_changes(synced=False)
        epochs.append(scenario.state["stores"]["epoch"])
    assert epochs[1] - epochs[0] == 2, "one change removes the store and one adds it again"
    assert epochs[-1] == epochs[1]


# Partitions that last about as long as the removal timeout


def test_store_that_returns_during_its_removal_stays():
    scenario = Scenario(stores="abcd")
    scenario.advance(REMOVAL_TIMEOUT_S + 0.1, "b", "c")
    scenario.apply_all_changes(synced=False)
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c", "d"], ["a", "b", "c"])
    scenario.advance(0.25, "b", "c", "d")
    scenario.apply_all_changes()
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c", "d"], [])


def test_removed_store_that_returns_is_no_replica_before_sync():
    scenario = Scenario(stores="abcd")
    scenario.advance(REMOVAL_TIMEOUT_S + 0.1, "b", "c")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c"]
    old_epoch = scenario.state["stores"]["epoch"] - 1
    scenario.synced = dict.fromkeys("abcd", old_epoch)
    scenario.advance(0.25, "b", "c", "d")
    scenario.apply_all_changes(synced=False)
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c"], ["a", "b", "c", "d"])
    epoch = scenario.state["stores"]["epoch"]
    scenario.synced = {"a": epoch, "b": epoch, "c": epoch, "d": old_epoch}
    scenario.receive_heartbeats("b", "c", "d")
    assert scenario.apply_next_change() == set(), "its sync of an older epoch does not count"


# A retiring machine and the concurrent loss of another one


@pytest.mark.parametrize("lost", "bcd")
def test_leaving_store_stays_stable_while_another_is_lost(lost):
    """The loss occurs during the change; the retiring store stays until the new incarnation has synced as well."""
    scenario = Scenario(members="abc", stores="abcde")
    scenario.state = start_retirement("machine-e", 3)(scenario.state)
    scenario.apply_next_change()
    while scenario.state["stores"]["next"] is None:
        scenario.apply_next_change()
    other_ids = [peer_id for peer_id in "bcde" if peer_id != lost]
    scenario.advance(REPLACEMENT_TIMEOUT_S + 0.1, *other_ids)
    for _ in range(6):
        scenario.apply_next_change()
    assert "e" in scenario.stores, "no store has synced yet"
    scenario.receive_heartbeats(*other_ids, lost + "2")
    for _ in range(6):
        scenario.apply_next_change()
    assert "e" in scenario.stores and lost + "2" in scenario.next_stores
    epoch = scenario.state["stores"]["epoch"]
    remaining = [peer_id for peer_id in scenario.next_stores if peer_id != lost + "2"]
    scenario.synced = dict.fromkeys(remaining, epoch)
    scenario.receive_heartbeats(*other_ids, lost + "2")
    scenario.apply_next_change()
    assert "e" in scenario.stores and scenario.state["retiring"] == ["machine-e"], "the new incarnation has not synced"
    scenario.synced[lost + "2"] = epoch
    scenario.receive_heartbeats(*other_ids, lost + "2")
    scenario.apply_all_changes(synced=False)
    assert "e" not in scenario.stores and scenario.state["retired"] == ["machine-e"]


def test_wiped_next_store_does_not_count_as_synced():
    scenario = Scenario(members="abc", stores="abcd")
    scenario.state = start_retirement("machine-d", 3)(scenario.state)
    scenario.apply_next_change()
    epoch = scenario.state["stores"]["epoch"]
    scenario.synced = {"a": epoch, "b": epoch, "c": epoch - 1}
    scenario.receive_heartbeats("b", "c", "d")
    assert scenario.apply_next_change() == set()
    scenario.synced["b2"] = epoch
    scenario.advance(0.2, "c", "d")
    scenario.receive_heartbeats("b2")
    scenario.synced["c"] = epoch
    scenario.receive_heartbeats("c")
    for _ in range(4):
        scenario.apply_next_change()
    assert "d" in scenario.stores
    assert scenario.next_stores == ["a", "b2", "c"] and scenario.state["stores"]["epoch"] > epoch


def test_stores_stay_while_wiped_machine_may_not_join():
    """The new incarnation is alive, so the former one is lost, but the new one is about to shut down."""
    scenario = Scenario()
    scenario.advance(0.3, "b")
    scenario.receive_heartbeats("c2", is_leaving=True)
    scenario.apply_all_changes(synced=False)
    assert (scenario.stores, scenario.next_stores) == (["a", "b", "c"], [])
    scenario.advance(3.0, "b")
    scenario.receive_heartbeats("c2")
    scenario.apply_all_changes()
    assert scenario.stores == ["a", "b", "c2"]
