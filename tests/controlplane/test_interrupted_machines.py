"""Which change of members or stores is due while machines freeze, come back, leave and are lost beside each other."""

import pytest
from controlplane.reconfiguration_scene import Scene

from dewpin.controlplane.membership.cluster_observation import REMOVAL_TIMEOUT_S, REPLACEMENT_TIMEOUT_S
from dewpin.controlplane.register.system_state import start_retirement

# Machines that freeze again and again


def freeze(scene, one, others, lasts_s=2.0):
    """Let one process fall silent and be heard again; returns how many changes that led to."""
    changes = 0
    for _ in range(round(lasts_s / 0.25)):
        scene.after(0.25, *others)
        changes += changes_made(scene)
    for _ in range(12):
        scene.after(0.25, *others, one)
        changes += changes_made(scene)
    return changes


def changes_made(scene):
    before = scene.state["version"]
    scene.settle(synced=False)
    return scene.state["version"] - before


def test_repeatedly_frozen_member_is_replaced_once():
    scene = Scene(members="abcde", stores="abcdef", full=5)
    scene.hear("f")
    made = [freeze(scene, "c", "bdef")]
    assert scene.members == "abdef"
    for frozen in ("f", "c", "f", "c", "d", "d", "d"):
        made.append(freeze(scene, frozen, [one for one in "bcdef" if one != frozen]))
    made_by_member_changes = sum(made)
    assert made_by_member_changes <= 3 * 2, "c, f and d went once each, by two versions each"


def scene_after_freezes(times):
    """The member `c` froze so many times, and is a member again."""
    scene = Scene(members="abcde", stores="abcdef", full=5)
    scene.hear("f")
    for _ in range(times):
        freeze(scene, "c", "bdef")
    scene.state = {**scene.state, "members": {one: f"{one}:1" for one in "abcde"}}
    scene.state = {**scene.state, "former_members": scene.state["members"]}
    return scene


def test_lost_machine_is_replaced_soon_despite_interruptions():
    scene = scene_after_freezes(6)
    scene.after(0.3, "b", "d", "e", "f", "c2")
    scene.settle()
    assert sorted(scene.state["members"]) == ["a", "b", "c2", "d", "e"], "its machine runs as another incarnation"


def test_replacement_timeout_is_bounded_by_removal_timeout():
    scene = scene_after_freezes(8)
    scene.after(REMOVAL_TIMEOUT_S - 0.5, "b", "d", "e", "f")
    scene.settle()
    assert scene.members == "abcde"
    scene.after(0.6, "b", "d", "e", "f")
    scene.settle()
    assert scene.members == "abdef"


@pytest.mark.parametrize("steady_s, replaced", [(50, False), (70, True)])
def test_interruptions_are_forgotten_after_a_minute(steady_s, replaced):
    scene = Scene(members="abcde", stores="abcde", full=5)
    freeze(scene, "d", "bce")
    assert scene.members == "abcde", "there is no other"
    for _ in range(2 * steady_s):
        scene.after(0.5, *"bcdef")
    scene.after(REPLACEMENT_TIMEOUT_S + 0.1, *"bcef")
    scene.settle(synced=False)
    assert scene.members == ("abcef" if replaced else "abcde")


def test_repeatedly_frozen_store_restarts_copy_once():
    scene = Scene(members="abc", stores="abcd", full=3)
    scene.hear("e")
    scene.step()
    assert scene.next_stores == ["a", "b", "c", "d", "e"]
    epochs = [scene.state["stores"]["epoch"]]
    for _ in range(4):
        for _ in range(8):
            scene.after(0.25, "b", "c", "e")
            scene.settle(synced=False)
        for _ in range(8):
            scene.after(0.25, "b", "c", "d", "e")
            scene.settle(synced=False)
        epochs.append(scene.state["stores"]["epoch"])
    assert epochs[1] - epochs[0] == 2, "left out, and taken in again"
    assert epochs[-1] == epochs[1]


# A cut that lasts for about as long as a silent machine is waited for


def test_store_that_returns_during_its_removal_stays():
    scene = Scene(stores="abcd")
    scene.after(REMOVAL_TIMEOUT_S + 0.1, "b", "c")
    scene.settle(synced=False)
    assert (scene.stores, scene.next_stores) == (["a", "b", "c", "d"], ["a", "b", "c"])
    scene.after(0.25, "b", "c", "d")
    scene.settle()
    assert (scene.stores, scene.next_stores) == (["a", "b", "c", "d"], [])


def test_removed_store_that_returns_is_no_replica_before_sync():
    scene = Scene(stores="abcd")
    scene.after(REMOVAL_TIMEOUT_S + 0.1, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c"]
    old = scene.state["stores"]["epoch"] - 1
    scene.synced = dict.fromkeys("abcd", old)
    scene.after(0.25, "b", "c", "d")
    scene.settle(synced=False)
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], ["a", "b", "c", "d"])
    epoch = scene.state["stores"]["epoch"]
    scene.synced = {"a": epoch, "b": epoch, "c": epoch, "d": old}
    scene.hear("b", "c", "d")
    assert scene.step() == set(), "what it said of an older change counts for nothing"


# A machine that is leaving, and the loss of another one


@pytest.mark.parametrize("lost", "bcd")
def test_leaving_store_stays_stable_while_another_is_lost(lost):
    """Each step: the loss before the change begins, in the midst of it, and its new incarnation's copy."""
    scene = Scene(members="abc", stores="abcde")
    scene.state = start_retirement("machine-e", 3)(scene.state)
    scene.step()
    while scene.state["stores"]["next"] is None:
        scene.step()
    others = [one for one in "bcde" if one != lost]
    scene.after(REPLACEMENT_TIMEOUT_S + 0.1, *others)
    for _ in range(6):
        scene.step()
    assert "e" in scene.stores, "nobody has copied yet"
    scene.hear(*others, lost + "2")
    for _ in range(6):
        scene.step()
    assert "e" in scene.stores and lost + "2" in scene.next_stores
    epoch = scene.state["stores"]["epoch"]
    remaining = [one for one in scene.next_stores if one != lost + "2"]
    scene.synced = dict.fromkeys(remaining, epoch)
    scene.hear(*others, lost + "2")
    scene.step()
    assert "e" in scene.stores and scene.state["retiring"] == ["machine-e"], "the new one has not copied"
    scene.synced[lost + "2"] = epoch
    scene.hear(*others, lost + "2")
    scene.settle(synced=False)
    assert "e" not in scene.stores and scene.state["retired"] == ["machine-e"]


def test_wiped_next_store_does_not_count_as_synced():
    scene = Scene(members="abc", stores="abcd")
    scene.state = start_retirement("machine-d", 3)(scene.state)
    scene.step()
    epoch = scene.state["stores"]["epoch"]
    scene.synced = {"a": epoch, "b": epoch, "c": epoch - 1}
    scene.hear("b", "c", "d")
    assert scene.step() == set()
    scene.synced["b2"] = epoch
    scene.after(0.2, "c", "d")
    scene.hear("b2")
    scene.synced["c"] = epoch
    scene.hear("c")
    for _ in range(4):
        scene.step()
    assert "d" in scene.stores
    assert scene.next_stores == ["a", "b2", "c"] and scene.state["stores"]["epoch"] > epoch


def test_stores_stay_while_wiped_machine_may_not_join():
    """The next incarnation is heard, so the one before is gone, but it is about to end again."""
    scene = Scene()
    scene.after(0.3, "b")
    scene.hear("c2", leaving=True)
    scene.settle(synced=False)
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], [])
    scene.after(3.0, "b")
    scene.hear("c2")
    scene.settle()
    assert scene.stores == ["a", "b", "c2"]
