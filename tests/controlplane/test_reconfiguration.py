"""Which change of members or stores is due: scripted knowledge of peers, at times of a clock made up here."""

import pytest

from dewpin.controlplane.peers import Peer, PeerTable
from dewpin.controlplane.reconfiguration import (
    GONE_S,
    GONE_WITH_SUCCESSOR_S,
    SUCCESSOR_JOINED_WITHIN_S,
    Knowledge,
    drives,
    due_change,
)
from dewpin.controlplane.system_state import begin_stores, genesis, start_retirement, successor

STARTED_S = 1000.0
SETTLED_S = 1040.0
"""By then all that was there from the start is long known."""


class Scene:
    """What the process `a` on machine-a knows; the others are heard as the test says."""

    def __init__(self, members="abc", stores="abc", full=3):
        addresses = {one: f"{one}:1" for one in members}
        self.state = genesis(addresses, {one: f"machine-{one}" for one in members})
        if stores:
            ids = {one: f"{one}:1" for one in stores}
            self.state = begin_stores(ids, {one: f"machine-{one}" for one in stores})(self.state)
            self.state = successor(self.state)
        self.full_count = full
        self.peers = PeerTable()
        self.synced = {}
        self.contact_since_s = STARTED_S
        self.now_s = STARTED_S
        for one in sorted({*members, *stores}):
            self.hear(one)
        self.now_s = SETTLED_S
        for one in sorted({*members, *stores}):
            self.hear(one)

    def record(self, one, name=None, address=None, leaving=False, location=""):
        return {
            "id": one,
            "name": name or f"machine-{one[0]}",
            "address": address or f"{one[0]}:1",
            "control": True,
            "store": True,
            "version": self.state["version"],
            "synced_epoch": self.synced.get(one, 0),
            "leaving": leaving,
            "bootstrap": False,
            "list_fails": False,
            "location": location,
        }

    def hear(self, *ids, **fields):
        for one in ids:
            if one != "a":
                self.peers.hear(self.record(one, **fields), self.now_s)

    def after(self, seconds, *heard):
        """Lets time go by; those named spoke just now."""
        self.now_s += seconds
        self.hear(*heard)

    @property
    def knowledge(self):
        me = Peer(**self.record("a"), last_heard_s=self.now_s)
        return Knowledge(me, self.peers, self.full_count, STARTED_S, self.now_s, self.contact_since_s)

    def step(self):
        """Makes the due change; the keys that it changed."""
        change = due_change(self.state, self.knowledge)
        if change is None:
            return set()
        before, self.state = self.state, change(self.state)
        assert self.state["version"] == before["version"] + 1
        return {key for key in before if key != "version" and before[key] != self.state[key]}

    def settle(self, synced=True):
        """Makes changes until none is due; stores copy at once unless told otherwise."""
        for _ in range(20):
            if synced:
                epoch = self.state["stores"]["epoch"]
                self.synced = dict.fromkeys({*self.peers.peers, "a"}, epoch)
                for peer in list(self.peers.peers.values()):
                    if self.now_s - peer.last_heard_s < 0.5:
                        self.hear(peer.id, name=peer.name, address=peer.address, leaving=peer.leaving)
            if not self.step():
                return
        raise AssertionError("changes without end")

    @property
    def members(self):
        return "".join(sorted(self.state["members"]))

    @property
    def stores(self):
        return sorted(self.state["stores"]["stable"])

    @property
    def next_stores(self):
        return sorted(self.state["stores"]["next"] or {})


def test_nothing_is_due_while_everyone_is_heard():
    assert Scene().step() == set()


def test_a_change_of_members_is_settled_before_anything_else():
    scene = Scene()
    scene.state = {**scene.state, "former_members": {"a": "a:1", "b": "b:1", "x": "x:1"}}
    assert scene.step() == {"former_members"}


def test_the_first_stores_are_taken_when_enough_are_there():
    scene = Scene(stores="")
    assert scene.step() == {"stores"}
    assert scene.stores == ["a", "b", "c"]


def test_fewer_stores_than_wanted_begin_only_after_a_while():
    scene = Scene(members="abc", stores="", full=5)
    scene.now_s = STARTED_S + 1.0
    scene.hear("b", "c")
    assert scene.step() == set()
    scene.after(4.0, "b", "c")
    assert scene.step() == {"stores"}


def test_a_wiped_machine_comes_back_as_another_incarnation_and_takes_the_old_ones_place():
    scene = Scene()
    scene.after(0.3, "b", "c2")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c2"], ["a", "b", "c2"])
    assert scene.state["stores"]["next"] is None


def test_a_wiped_machine_is_replaced_by_a_process_that_was_just_started_and_never_heard_the_old_one():
    scene = Scene()
    scene.peers = PeerTable()
    scene.hear("b", "c2")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c2"], ["a", "b", "c2"])


def test_a_silent_member_without_a_spare_stays():
    scene = Scene()
    scene.after(GONE_S + 5, "b")
    assert scene.step() == set()
    assert (scene.members, scene.stores) == ("abc", ["a", "b", "c"])


def test_a_silent_member_is_replaced_by_a_spare_once_it_is_gone_for_long_enough():
    scene = Scene()
    scene.after(GONE_WITH_SUCCESSOR_S - 0.2, "b", "d")
    scene.step()
    assert scene.members == "abc"
    scene.after(0.4, "b", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abd", ["a", "b", "d"])


def test_a_machine_replaced_at_another_address_under_its_name_is_replaced_at_once_when_silent():
    scene = Scene()
    scene.after(1.2, "b")
    scene.hear("e", name="machine-c", address="e:1")
    scene.settle()
    assert (scene.members, scene.stores) == ("abe", ["a", "b", "e"])


@pytest.mark.parametrize("seen_from_the_machine_itself", [False, True])
def test_two_machines_under_one_name_are_both_kept_while_both_speak(seen_from_the_machine_itself):
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


def test_a_planned_replacement_comes_first_and_the_old_one_goes_soon_after_it_left():
    scene = Scene()
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abc", ["a", "b", "c", "d"])
    scene.after(2.0, "b", "d")
    scene.hear("c", leaving=True)
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"], "it may still be asked"
    scene.after(GONE_WITH_SUCCESSOR_S + 0.1, "b", "d")
    scene.settle()
    assert (scene.members, scene.stores) == ("abd", ["a", "b", "d"])


def test_a_store_that_is_stopped_and_started_again_keeps_its_place():
    scene = Scene(members="abc", stores="abcd")
    scene.hear("d", leaving=True)
    scene.after(4.0, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_a_successor_counts_for_one_machine_and_not_for_ever():
    scene = Scene()
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    scene.after(SUCCESSOR_JOINED_WITHIN_S, "b", "d")
    scene.hear("c", leaving=True)
    scene.after(GONE_WITH_SUCCESSOR_S + 0.1, "b", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]
    scene.after(GONE_S, "b", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "d"]


def test_a_store_that_is_added_joins_the_stores():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    assert scene.step() == {"stores", "names"}
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], ["a", "b", "c", "d"])
    assert scene.step() == set(), "nobody has copied yet"
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_members_grow_one_at_a_time_up_to_the_full_count_and_no_further():
    scene = Scene(full=5)
    scene.after(0.3, "b", "c", "d", "e", "f")
    assert scene.step() >= {"members"}
    assert scene.members == "abcd"
    scene.settle()
    assert scene.members == "abcde"


def test_the_change_of_stores_ends_only_when_every_next_one_has_copied():
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


def test_a_joining_store_that_dies_in_mid_change_is_given_up():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    scene.step()
    scene.after(GONE_WITH_SUCCESSOR_S + 0.1, "b", "c")
    scene.settle()
    assert (scene.stores, scene.next_stores) == (["a", "b", "c"], [])


def test_a_joining_store_wiped_in_mid_change_is_replaced_by_its_next_incarnation():
    scene = Scene()
    scene.after(0.3, "b", "c2")
    scene.settle(synced=False)
    assert scene.next_stores == ["a", "b", "c2"]
    scene.after(0.3, "b", "c3")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "b", "c3"], ["a", "b", "c3"])


def test_a_frozen_store_stays_and_one_that_was_dropped_joins_again_when_it_is_back():
    scene = Scene(stores="abcd")
    scene.after(5.0, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]
    scene.after(GONE_S, "b", "c")
    scene.settle()
    assert scene.stores == ["a", "b", "c"]
    scene.after(1.0, "b", "c", "d")
    scene.settle()
    assert scene.stores == ["a", "b", "c", "d"]


def test_no_store_is_dropped_where_too_few_would_be_left():
    scene = Scene()
    scene.after(GONE_S + 1, "b")
    scene.settle()
    assert scene.stores == ["a", "b", "c"]


def test_a_retired_machine_leaves_the_members_and_the_stores_and_then_it_is_done():
    scene = Scene(members="abc", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle()
    assert (scene.members, scene.stores) == ("acd", ["a", "c", "d"])
    assert (scene.state["retiring"], scene.state["retired"]) == ([], ["machine-b"])
    scene.after(0.3, "b", "c", "d")
    scene.settle()
    assert scene.stores == ["a", "c", "d"], "it is not taken in again"


def test_a_retirement_is_not_done_before_the_others_hold_everything():
    scene = Scene(members="acd", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle(synced=False)
    assert scene.state["retiring"] == ["machine-b"] and scene.next_stores == ["a", "c", "d"]


def test_a_machine_that_is_wiped_right_after_a_retirement_is_replaced_as_ever():
    scene = Scene(members="abc", stores="abcd")
    scene.state = start_retirement("machine-b", 3)(scene.state)
    scene.settle()
    scene.after(0.3, "c2", "d")
    scene.settle()
    assert (sorted(scene.state["members"]), scene.stores) == (["a", "c2", "d"], ["a", "c2", "d"])


def test_the_live_member_with_the_least_id_drives():
    scene = Scene()
    assert drives(scene.state, scene.knowledge)
    scene.state = {**scene.state, "members": {"b": "b:1", "c": "c:1", "d": "d:1"}}
    assert not drives(scene.state, scene.knowledge), "a is no member"
    scene.state = {**scene.state, "members": {"A": "A:1", "a": "a:1", "b": "b:1"}}
    assert drives(scene.state, scene.knowledge), "A was never heard"
    scene.hear("A")
    assert not drives(scene.state, scene.knowledge)
    scene.after(1.5, "b")
    assert drives(scene.state, scene.knowledge)


def test_a_change_planned_on_a_state_that_moved_is_not_made():
    scene = Scene()
    scene.after(0.3, "b", "c", "d")
    change = due_change(scene.state, scene.knowledge)
    with pytest.raises(Exception, match="planned on"):
        change(successor(scene.state))


def test_the_register_grows_into_the_zone_that_holds_the_fewest_members():
    scene = Scene(full=5)
    for one, zone in (("b", "r/one"), ("c", "r/two"), ("d", "r/one"), ("e", "r/three"), ("f", "s/one")):
        scene.hear(one, location=zone)
    assert "members" in scene.step()
    assert "f" in scene.state["members"]


def test_the_view_of_the_stores_carries_their_locations():
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


def test_a_process_that_reaches_no_majority_drives_no_changes():
    scene = Scene()
    assert drives(scene.state, scene.knowledge)
    scene.contact_since_s = None
    assert not drives(scene.state, scene.knowledge)


def test_the_next_one_drives_while_the_first_reaches_no_majority_by_its_own_word():
    scene = Scene(members="0bc", stores="0bc")
    scene.state["members"] = {"0": "0:1", "a": "a:1", "c": "c:1"}
    assert not drives(scene.state, scene.knowledge)
    scene.peers.hear({**scene.record("0"), "reaches_majority": False}, scene.now_s)
    assert drives(scene.state, scene.knowledge)


def test_silence_from_before_the_own_contact_drops_nobody():
    scene = Scene()
    scene.after(2 * GONE_S, "d")
    scene.contact_since_s = scene.now_s - 0.5
    scene.synced = dict.fromkeys("abcd", scene.state["stores"]["epoch"])
    scene.step()
    assert scene.members == "abc" and {"a", "b", "c"} <= set(scene.next_stores or scene.stores)
    scene.contact_since_s = scene.now_s - GONE_S - 1.0
    scene.settle()
    assert scene.members != "abc"


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


def test_a_member_that_freezes_again_and_again_is_replaced_once():
    scene = Scene(members="abcde", stores="abcdef", full=5)
    scene.hear("f")
    made = [freeze(scene, "c", "bdef")]
    assert scene.members == "abdef"
    for frozen in ("f", "c", "f", "c", "d", "d", "d"):
        made.append(freeze(scene, frozen, [one for one in "bcdef" if one != frozen]))
    made_by_member_changes = sum(made)
    assert made_by_member_changes <= 3 * 2, "c, f and d went once each, by two versions each"


def test_a_machine_lost_for_good_is_replaced_soon_whatever_it_did_before():
    scene = Scene(members="abcde", stores="abcdef", full=5)
    scene.hear("f")
    for _ in range(6):
        freeze(scene, "c", "bdef")
    scene.state = {**scene.state, "members": {one: f"{one}:1" for one in "abcde"}}
    scene.state = {**scene.state, "former_members": scene.state["members"]}
    scene.after(0.3, "b", "d", "e", "f", "c2")
    scene.settle()
    assert sorted(scene.state["members"]) == ["a", "b", "c2", "d", "e"], "its machine runs as another incarnation"


def test_the_wait_for_a_machine_that_froze_often_ends_at_the_usual_bound():
    scene = Scene(members="abcde", stores="abcdef", full=5)
    scene.hear("f")
    for _ in range(8):
        freeze(scene, "c", "bdef")
    scene.state = {**scene.state, "members": {one: f"{one}:1" for one in "abcde"}}
    scene.state = {**scene.state, "former_members": scene.state["members"]}
    scene.after(GONE_S - 0.5, "b", "d", "e", "f")
    scene.settle()
    assert scene.members == "abcde"
    scene.after(0.6, "b", "d", "e", "f")
    scene.settle()
    assert scene.members == "abdef"


@pytest.mark.parametrize("steady_s, replaced", [(50, False), (70, True)])
def test_a_machine_that_has_been_steady_for_a_minute_is_replaced_as_soon_as_any(steady_s, replaced):
    scene = Scene(members="abcde", stores="abcde", full=5)
    freeze(scene, "d", "bce")
    assert scene.members == "abcde", "there is no other"
    for _ in range(2 * steady_s):
        scene.after(0.5, *"bcdef")
    scene.after(GONE_WITH_SUCCESSOR_S + 0.1, *"bcef")
    scene.settle(synced=False)
    assert scene.members == ("abcef" if replaced else "abcde")


def test_a_store_that_freezes_again_and_again_restarts_a_copy_under_way_once_only():
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


def test_a_store_that_comes_back_while_it_is_being_dropped_stays():
    scene = Scene(stores="abcd")
    scene.after(GONE_S + 0.1, "b", "c")
    scene.settle(synced=False)
    assert (scene.stores, scene.next_stores) == (["a", "b", "c", "d"], ["a", "b", "c"])
    scene.after(0.25, "b", "c", "d")
    scene.settle()
    assert (scene.stores, scene.next_stores) == (["a", "b", "c", "d"], [])


def test_a_store_that_was_dropped_and_comes_back_is_no_replica_before_it_has_copied():
    scene = Scene(stores="abcd")
    scene.after(GONE_S + 0.1, "b", "c")
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
def test_a_leaving_store_stays_one_of_the_stable_while_another_is_lost(lost):
    """Each step: the loss before the change begins, in the midst of it, and its new incarnation's copy."""
    scene = Scene(members="abc", stores="abcde")
    scene.state = start_retirement("machine-e", 3)(scene.state)
    scene.step()
    while scene.state["stores"]["next"] is None:
        scene.step()
    others = [one for one in "bcde" if one != lost]
    scene.after(GONE_WITH_SUCCESSOR_S + 0.1, *others)
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


def test_a_next_store_that_was_wiped_counts_for_no_copy_of_its_machine_before():
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
