"""What a process knows of the others."""

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, FORGET_AFTER_S, PeerDescription, PeerTable


def description(one, name="machine", address="10.0.0.1:1"):
    return PeerDescription(
        id=one,
        name=name,
        address=address,
        serves_control=True,
        serves_store=True,
        version=3,
        synced_epoch=1,
        is_leaving=False,
        is_bootstrap=False,
        has_list_failed=False,
    )


def test_a_peer_is_silent_since_it_spoke_last_and_for_ever_if_it_never_did():
    table = PeerTable()
    table.record_heard(description("a"), 10.0)
    assert table.unheard_s("a", 12.0) == 2.0
    assert table.unheard_s("b", 12.0) == float("inf")


def test_the_first_time_a_peer_was_heard_is_kept():
    table = PeerTable()
    table.record_heard(description("a"), 10.0)
    assert table.record_heard(description("a"), 20.0).first_heard_s == 10.0


def test_whoever_answers_at_an_address_has_ended_the_one_before():
    table = PeerTable()
    table.record_heard(description("a"), 10.0)
    table.record_heard(description("a2"), 10.1)
    assert table.unheard_s("a", 10.1) >= FORGET_AFTER_S
    assert table.is_replaced("a", "machine", 10.1)
    assert not table.is_replaced("a2", "machine", 10.1)
    found = table.at_address("10.0.0.1:1")
    assert found is not None and found.id == "a2"


def test_of_two_machines_under_one_name_none_is_replaced_while_both_speak():
    table = PeerTable()
    table.record_heard(description("old", address="10.0.0.1:1"), 10.0)
    table.record_heard(description("new", address="10.0.0.2:1"), 10.2)
    assert not table.is_replaced("old", "machine", 10.2)
    assert not table.is_replaced("new", "machine", 10.2)
    table.record_heard(description("new", address="10.0.0.2:1"), 10.1 + ALIVE_WITHIN_S)
    assert table.is_replaced("old", "machine", 10.1 + ALIVE_WITHIN_S)


def test_a_successor_that_fell_silent_replaces_nobody():
    table = PeerTable()
    table.record_heard(description("new", address="10.0.0.2:1"), 10.0)
    assert table.is_replaced("old", "machine", 10.5)
    assert not table.is_replaced("old", "machine", 10.1 + ALIVE_WITHIN_S)


def test_peers_silent_for_long_are_forgotten():
    table = PeerTable()
    table.record_heard(description("a"), 10.0)
    table.record_heard(description("b", "other", "10.0.0.2:1"), 10.1 + FORGET_AFTER_S)
    assert set(table.peers) == {"b"}


def test_interruptions_are_counted_for_a_minute():
    table = PeerTable()
    now_s = 100.0
    for _ in range(50):
        for silent_s in (0.25, 0.25, 2.0):
            now_s += silent_s
            table.record_heard(description("a"), now_s)
    peer = table.peers["a"]
    assert peer.interruptions(now_s) == len(peer.interrupted_at_s) == 24
    assert peer.interruptions(now_s + 59.0) == 1
    assert peer.interruptions(now_s + 61.0) == 0


def test_a_silence_after_which_a_process_is_given_up_is_no_interruption():
    table = PeerTable()
    table.record_heard(description("a"), 100.0)
    assert table.record_heard(description("a"), 125.0).interruptions(125.0) == 0
