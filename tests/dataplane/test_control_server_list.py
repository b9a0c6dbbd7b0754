"""The choice of the control server that a sender asks next."""

import random

from dewpin.dataplane.membership.control_server_list import FORGET_AFTER_S, RETRY_AFTER_S, ControlServerList


def control_server_list(*seeds):
    return ControlServerList(seeds, random.Random(1))


def test_control_servers_are_chosen_in_turn():
    control_servers = control_server_list("a", "b", "c")
    asked = [control_servers.choose_next(float(number)) for number in range(6)]
    assert sorted(asked[:3]) == ["a", "b", "c"] and asked[3:] == asked[:3]


def test_added_control_server_is_chosen():
    control_servers = control_server_list("a")
    control_servers.add(["a", "b"], 0.0)
    assert {control_servers.choose_next(1.0), control_servers.choose_next(2.0)} == {"a", "b"}


def test_failed_control_server_is_avoided_for_the_retry_delay():
    control_servers = control_server_list("a", "b")
    control_servers.record_failure("a", 0.0)
    assert [control_servers.choose_next(0.1), control_servers.choose_next(0.2)] == ["b", "b"]
    assert control_servers.usable(RETRY_AFTER_S - 0.1) == ["b"]
    assert control_servers.choose_next(RETRY_AFTER_S) == "a"


def test_answer_makes_a_failed_control_server_usable():
    control_servers = control_server_list("a", "b")
    control_servers.record_failure("a", 0.0)
    control_servers.record_answer("a", 0.1)
    assert sorted(control_servers.usable(0.1)) == ["a", "b"]


def test_failed_control_servers_are_chosen_in_turn_if_all_have_failed():
    control_servers = control_server_list("a", "b")
    for address in "ab":
        control_servers.record_failure(address, 0.0)
    assert {control_servers.choose_next(0.1), control_servers.choose_next(0.2)} == {"a", "b"}


def test_control_servers_that_are_not_listed_are_removed_only_after_a_delay():
    control_servers = control_server_list("a")
    control_servers.add(["a", "b", "c"], 0.0)
    for now_s in range(1, int(FORGET_AFTER_S)):
        control_servers.add(["a"], float(now_s))
    assert sorted(control_servers.all()) == ["a", "b", "c"]
    control_servers.add(["a"], FORGET_AFTER_S + 0.1)
    assert control_servers.all() == ["a"]


def test_control_server_that_answers_is_not_removed():
    control_servers = control_server_list("a")
    control_servers.add(["b"], 0.0)
    control_servers.record_answer("b", FORGET_AFTER_S)
    control_servers.add(["a"], FORGET_AFTER_S + 1.0)
    assert sorted(control_servers.all()) == ["a", "b"]


def test_new_seeds_are_used_and_former_ones_are_removed_after_a_delay():
    control_servers = control_server_list("a", "b")
    control_servers.record_answer("a", 0.0)
    control_servers.set_seeds(["c"])
    assert sorted(control_servers.all()) == ["a", "b", "c"]
    control_servers.add(["c"], 1.0)
    assert sorted(control_servers.all()) == ["a", "c"]


def test_empty_seeds_keep_the_former_ones():
    control_servers = control_server_list("a")
    control_servers.set_seeds([])
    control_servers.add([], 1000.0)
    assert control_servers.all() == ["a"]


def test_two_lost_control_servers_are_never_chosen_in_succession():
    """Regression test for seed 1066 of the simulation scenario second_loss, in which three consecutive time-outs cut a
    sender off from the control plane."""
    control_servers = control_server_list("a", "b", "c", "d", "e")
    lost, timed_out, now_s = {"a", "b", "c"}, [], 0.0
    for _ in range(60):
        chosen = control_servers.choose_next(now_s)
        timed_out.append(chosen in lost)
        if chosen in lost:
            control_servers.record_failure(chosen, now_s + 0.35)
        else:
            control_servers.record_answer(chosen, now_s)
        now_s += 0.4
    after_warm_up = timed_out[6:]
    assert any(after_warm_up)
    assert not any(first and second for first, second in zip(after_warm_up, after_warm_up[1:], strict=False))
