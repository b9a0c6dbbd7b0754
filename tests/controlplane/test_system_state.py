"""Changes of the system state, which are pure functions."""

import pytest

from dewpin.controlplane.register.change_errors import (
    GenerationTooLowError,
    StateVersionChangedError,
    TooFewStoresRemainError,
    UnknownMachineError,
    VersionMismatchError,
)
from dewpin.controlplane.register.system_state import (
    configuration_digest,
    finish_retirement,
    finish_store_change,
    initial_state,
    is_membership_stable,
    is_retired,
    put_configuration,
    quorum_sets,
    require_version,
    set_initial_stores,
    set_members,
    start_retirement,
    start_store_change,
    successor,
)

MEMBERS = {"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1"}
NAMES = {"a": "store-1", "b": "store-2", "c": "store-3"}


def new_state():
    return initial_state(MEMBERS, NAMES)


def with_stores(count=4):
    ids = "abcdefgh"[:count]
    names = {store_id: f"store-{number}" for number, store_id in enumerate(ids, 1)}
    return set_initial_stores({store_id: f"10.0.0.{number}:1" for number, store_id in enumerate(ids, 1)}, names)(
        new_state()
    )


def put(state, generation, base, body=b"{}"):
    return put_configuration(body, generation, base)(state)


def test_initial_state_is_independent_of_member_order():
    assert list(new_state().items()) == list(initial_state(dict(reversed(MEMBERS.items())), NAMES).items())
    assert quorum_sets(new_state()) == [frozenset("abc"), frozenset("abc")]


def test_put_configuration_returns_next_version_and_leaves_old_state_unchanged():
    before = new_state()
    after = put(before, 7, 0, b'{"x": 1}')
    assert (after["version"], after["configuration"]["generation"]) == (1, 7)
    assert after["configuration"]["body"] == '{"x": 1}'
    assert before == new_state()


def test_repeated_configuration_changes_nothing():
    state = put(new_state(), 7, 0)
    assert put(state, 7, 0) is state


def test_repeated_configuration_is_known_after_later_ones():
    state = put(put(new_state(), 7, 0, b"one"), 9, 7, b"two")
    assert put(state, 7, 0, b"one") is state


def test_one_of_two_configurations_of_a_version_is_accepted():
    state = put(new_state(), 7, 0, b"one")
    with pytest.raises(VersionMismatchError):
        put(state, 8, 0, b"two")


def test_other_configuration_with_accepted_generation_is_rejected():
    state = put(new_state(), 7, 0, b"one")
    with pytest.raises(VersionMismatchError):
        put(state, 7, 0, b"two")
    with pytest.raises(GenerationTooLowError):
        put(state, 7, 7, b"two")


@pytest.mark.parametrize("generation", [1, 6, 7])
def test_generation_not_above_present_is_rejected(generation):
    with pytest.raises(GenerationTooLowError):
        put(put(new_state(), 7, 0), generation, 7, b"two")


def test_base_above_present_generation_is_rejected():
    with pytest.raises(VersionMismatchError):
        put(new_state(), 9, 5)


def test_digest_differs_for_equivalent_bodies():
    assert configuration_digest(b"{}", 1) == configuration_digest(b"{}", 1)
    assert configuration_digest(b"{}", 1) != configuration_digest(b"{ }", 1)
    assert configuration_digest(b"{}", 1) != configuration_digest(b"{}", 2)


def test_present_configuration_on_itself_is_another_change():
    with pytest.raises(GenerationTooLowError):
        put(put(new_state(), 7, 0), 7, 7)


def test_planned_change_is_rejected_on_other_version():
    change = require_version(0, successor)
    assert change(new_state())["version"] == 1
    with pytest.raises(StateVersionChangedError):
        change(successor(new_state()))


def test_member_change_completes_with_next_version():
    changed = set_members({"a": "x", "b": "y", "d": "z"}, {"d": "store-9"})(new_state())
    assert not is_membership_stable(changed)
    assert quorum_sets(changed) == [frozenset("abd"), frozenset("abc")]
    assert changed["names"] == {**NAMES, "d": "store-9"}
    completed = successor(changed)
    assert is_membership_stable(completed) and quorum_sets(completed) == [frozenset("abd"), frozenset("abd")]


def test_each_store_change_raises_epoch():
    state = with_stores(3)
    changing = start_store_change({"a": "1", "b": "2", "d": "4"}, {"d": "store-4"})(state)
    retargeted = start_store_change({"a": "1", "b": "2"}, {})(changing)
    completed = finish_store_change(changing)
    assert [version["stores"]["epoch"] for version in (state, changing, retargeted, completed)] == [1, 2, 3, 3]
    assert changing["stores"]["stable"] == state["stores"]["stable"]
    assert retargeted["stores"]["stable"] == state["stores"]["stable"]
    assert (completed["stores"]["stable"], completed["stores"]["next"]) == ({"a": "1", "b": "2", "d": "4"}, None)


def test_machine_is_retired_by_name():
    state = start_retirement("store-2", 3)(with_stores(4))
    assert state["retiring"] == ["store-2"] and not is_retired(state, "store-2")
    completed = finish_retirement("store-2")(state)
    assert completed["retiring"] == [] and is_retired(completed, "store-2")


def test_repeated_retirement_changes_nothing():
    state = start_retirement("store-2", 3)(with_stores(4))
    assert start_retirement("store-2", 3)(state) is state
    completed = finish_retirement("store-2")(state)
    assert start_retirement("store-2", 3)(completed) is completed


def test_retirement_of_unknown_or_needed_machine_raises():
    with pytest.raises(UnknownMachineError):
        start_retirement("store-9", 3)(with_stores(4))
    with pytest.raises(TooFewStoresRemainError):
        start_retirement("store-2", 3)(with_stores(3))
    with pytest.raises(TooFewStoresRemainError):
        start_retirement("store-2", 3)(start_retirement("store-1", 3)(with_stores(4)))
