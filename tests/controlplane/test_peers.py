"""The table of known peers."""

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, FORGET_AFTER_S, PeerDescription, PeerTable


def description(peer_id, name="machine", address="10.0.0.1:1"):
    return PeerDescription(
        id=peer_id,
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


def test_unheard_time_counts_from_last_heartbeat_and_is_infinite_without():
    table = PeerTable()
    table.record_received(description("a"), 10.0)
    assert table.since_last_received_s("a", 12.0) == 2.0
    assert table.since_last_received_s("b", 12.0) == float("inf")


def test_first_heard_time_is_kept():
    table = PeerTable()
    table.record_received(description("a"), 10.0)
    assert table.record_received(description("a"), 20.0).first_received_s == 10.0


def test_new_incarnation_at_address_ends_the_former():
    table = PeerTable()
    table.record_received(description("a"), 10.0)
    table.record_received(description("a2"), 10.1)
    assert table.since_last_received_s("a", 10.1) >= FORGET_AFTER_S
    assert table.is_replaced("a", "machine", 10.1)
    assert not table.is_replaced("a2", "machine", 10.1)
    peer_at_address = table.at_address("10.0.0.1:1")
    assert peer_at_address is not None and peer_at_address.id == "a2"


def test_two_live_machines_with_one_name_are_not_replaced():
    table = PeerTable()
    table.record_received(description("old", address="10.0.0.1:1"), 10.0)
    table.record_received(description("new", address="10.0.0.2:1"), 10.2)
    assert not table.is_replaced("old", "machine", 10.2)
    assert not table.is_replaced("new", "machine", 10.2)
    table.record_received(description("new", address="10.0.0.2:1"), 10.1 + ALIVE_WITHIN_S)
    assert table.is_replaced("old", "machine", 10.1 + ALIVE_WITHIN_S)


def test_silent_replacement_replaces_nobody():
    table = PeerTable()
    table.record_received(description("new", address="10.0.0.2:1"), 10.0)
    assert table.is_replaced("old", "machine", 10.5)
    assert not table.is_replaced("old", "machine", 10.1 + ALIVE_WITHIN_S)


def test_peers_unheard_for_long_are_forgotten():
    table = PeerTable()
    table.record_received(description("a"), 10.0)
    table.record_received(description("b", "other", "10.0.0.2:1"), 10.1 + FORGET_AFTER_S)
    assert set(table.peers) == {"b"}


def test_interruptions_count_for_a_minute():
    table = PeerTable()
    now_s = 100.0
    for _ in range(50):
        for interruption_s in (0.25, 0.25, 2.0):
            now_s += interruption_s
            table.record_received(description("a"), now_s)
    peer = table.peers["a"]
    assert peer.interruptions(now_s) == len(peer.interrupted_at_s) == 24
    assert peer.interruptions(now_s + 59.0) == 1
    assert peer.interruptions(now_s + 61.0) == 0


def test_silence_beyond_removal_timeout_is_no_interruption():
    table = PeerTable()
    table.record_received(description("a"), 100.0)
    assert table.record_received(description("a"), 125.0).interruptions(125.0) == 0
