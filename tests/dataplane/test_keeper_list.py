"""Which control plane process a sender asks next."""

import random

from dewpin.dataplane.keeper_list import FORGET_AFTER_S, RETRY_AFTER_S, KeeperList


def made(*seeds):
    return KeeperList(seeds, random.Random(1))


def test_all_are_asked_in_turn():
    keepers = made("a", "b", "c")
    asked = [keepers.next(float(number)) for number in range(6)]
    assert sorted(asked[:3]) == ["a", "b", "c"] and asked[3:] == asked[:3]


def test_one_that_is_named_is_asked_as_well():
    keepers = made("a")
    keepers.named(["a", "b"], 0.0)
    assert {keepers.next(1.0), keepers.next(2.0)} == {"a", "b"}


def test_one_that_failed_is_left_alone_for_a_moment():
    keepers = made("a", "b")
    keepers.failed("a", 0.0)
    assert [keepers.next(0.1), keepers.next(0.2)] == ["b", "b"]
    assert keepers.usable(RETRY_AFTER_S - 0.1) == ["b"]
    assert keepers.next(RETRY_AFTER_S) == "a"


def test_an_answer_ends_the_wait():
    keepers = made("a", "b")
    keepers.failed("a", 0.0)
    keepers.answered("a", 0.1)
    assert sorted(keepers.usable(0.1)) == ["a", "b"]


def test_where_all_failed_they_are_asked_in_turn_all_the_same():
    keepers = made("a", "b")
    for one in "ab":
        keepers.failed(one, 0.0)
    assert {keepers.next(0.1), keepers.next(0.2)} == {"a", "b"}


def test_one_that_names_only_itself_makes_nobody_forget_the_others():
    keepers = made("a")
    keepers.named(["a", "b", "c"], 0.0)
    for now_s in range(1, int(FORGET_AFTER_S)):
        keepers.named(["a"], float(now_s))
    assert sorted(keepers.all()) == ["a", "b", "c"]
    keepers.named(["a"], FORGET_AFTER_S + 0.1)
    assert keepers.all() == ["a"]


def test_one_that_answers_is_not_forgotten():
    keepers = made("a")
    keepers.named(["b"], 0.0)
    keepers.answered("b", FORGET_AFTER_S)
    keepers.named(["a"], FORGET_AFTER_S + 1.0)
    assert sorted(keepers.all()) == ["a", "b"]


def test_new_seeds_are_asked_and_old_ones_are_forgotten_in_time():
    keepers = made("a", "b")
    keepers.answered("a", 0.0)
    keepers.set_seeds(["c"])
    assert sorted(keepers.all()) == ["a", "b", "c"]
    keepers.named(["c"], 1.0)
    assert sorted(keepers.all()) == ["a", "c"]


def test_settings_without_seeds_change_nothing():
    keepers = made("a")
    keepers.set_seeds([])
    keepers.named([], 1000.0)
    assert keepers.all() == ["a"]


def test_several_that_are_gone_are_never_asked_one_right_after_the_other():
    """Found by seed 1066 of the simulated runs' second_loss: three time-outs in a row, and a sender out of touch."""
    keepers = made("a", "b", "c", "d", "e")
    dead, asked, now_s = {"a", "b", "c"}, [], 0.0
    for _ in range(60):
        chosen = keepers.next(now_s)
        asked.append(chosen in dead)
        if chosen in dead:
            keepers.failed(chosen, now_s + 0.35)
        else:
            keepers.answered(chosen, now_s)
        now_s += 0.4
    settled = asked[6:]
    assert any(settled)
    assert not any(one and other for one, other in zip(settled, settled[1:], strict=False))
