"""The directory of receivers: ends are never taken back, versions order what the processes hold."""

import pytest

from dewpin.cluster.receivers import (
    MAX_REMEMBERED_DRAINING,
    NO_VERSION,
    DirectoryVersion,
    Receiver,
    ReceiverDirectory,
    receiver_from_platform,
    receiver_from_record,
)


def receiver(one, **fields):
    return Receiver(one, "service", f"10.1.0.{one}:80", "east", 8, **fields)


def ready(*ids):
    return [receiver(one) for one in ids]


def draining(*ids):
    return [receiver(one, draining=True) for one in ids]


def directory(*readings, reader="a"):
    made = ReceiverDirectory()
    for reading in readings:
        made.apply_listing(reading, reader)
    return made


def copy_to(target, source):
    return target.apply_update(source.version, [receiver_from_record(record) for record in source.to_records()])


def states(one):
    return {receiver.id: receiver.draining for receiver in one.receivers.values()}


def test_listing_makes_a_version_only_if_it_changes_something():
    one = ReceiverDirectory()
    assert one.apply_listing(ready("1", "2"), "a") and one.version == DirectoryVersion(1, "a")
    assert not one.apply_listing(ready("1", "2"), "a") and one.version == DirectoryVersion(1, "a")
    assert one.apply_listing(ready("1"), "b") and one.version == DirectoryVersion(2, "b")


def test_warm_up_progress_is_applied_without_a_new_version():
    one = directory([receiver("1", warm_up_left_ms=500.0)])
    assert not one.apply_listing([receiver("1", warm_up_left_ms=100.0)], "a")
    assert one.receivers["1"].warm_up_left_ms == 100.0


def test_first_listing_makes_a_version_even_if_empty():
    assert ReceiverDirectory().apply_listing([], "a")


def test_draining_is_not_reverted_by_an_older_listing():
    one = directory(ready("1"), draining("1"))
    assert not one.apply_listing(ready("1"), "a")
    assert states(one) == {"1": True}


def test_receiver_that_left_after_draining_does_not_return():
    one = directory(ready("1", "2"), draining("1") + ready("2"), ready("2"))
    assert not one.apply_listing(ready("1", "2"), "a")
    assert states(one) == {"2": False}


def test_receiver_missing_from_one_listing_returns():
    one = directory(ready("1", "2"), ready("2"))
    assert one.apply_listing(ready("1", "2"), "a")
    assert states(one) == {"1": False, "2": False}


def test_reused_address_is_another_receiver():
    one = directory(draining("1"))
    one.apply_listing([Receiver("9", "other", "10.1.0.1:80", "east", 8)], "a")
    assert {name: [found.id for found in all_of] for name, all_of in one.by_service().items()} == {"other": ["9"]}


def test_update_is_applied_only_if_newer():
    source, target = directory(ready("1")), ReceiverDirectory()
    assert copy_to(target, source) and states(target) == {"1": False}
    assert not copy_to(target, source)
    source.apply_listing(draining("1"), "a")
    assert copy_to(target, source) and states(target) == {"1": True}


def test_update_does_not_revert_known_draining():
    target = directory(draining("1"), reader="a")
    source = directory(ready("1"), reader="b")
    assert copy_to(target, source)
    assert states(target) == {"1": True}


def test_draining_missing_from_newer_update_is_published_with_next_listing():
    """Two readers made versions side by side: the one that lost knew an end which the others must hear of."""
    loser, winner, third = directory(draining("1"), reader="a"), directory(ready("1"), reader="b"), ReceiverDirectory()
    copy_to(third, winner)
    copy_to(loser, winner)
    assert loser.apply_listing(draining("1"), "a"), "the list did not change since, the others' knowledge has to"
    assert copy_to(third, loser) and states(third) == {"1": True}
    assert not loser.apply_listing(draining("1"), "a")


def test_versions_exceed_observed_ones_after_restart_of_every_reader():
    sender = ReceiverDirectory()
    copy_to(sender, directory(*(ready(str(number)) for number in range(50))))
    restarted = directory(ready("99"), reader="z")
    assert not copy_to(sender, restarted)
    restarted.observe_version(sender.version)
    assert restarted.apply_listing(ready("99"), "z")
    assert copy_to(sender, restarted) and states(sender) == {"99": False}


def test_private_listing_keeps_the_version():
    one = directory(ready("1", "2"))
    version = one.version
    assert one.apply_private_listing(draining("1") + ready("2", "3"))
    assert (one.version, states(one)) == (version, {"1": True, "2": False, "3": False})
    assert not one.apply_private_listing(ready("1", "2", "3"))
    assert ReceiverDirectory().version == NO_VERSION


def test_update_after_private_listing_does_not_revert_draining():
    source = directory(ready("1"))
    target = ReceiverDirectory()
    copy_to(target, source)
    target.apply_private_listing(draining("1"))
    source.apply_listing(ready("1", "2"), "a")
    assert copy_to(target, source)
    assert states(target) == {"1": True, "2": False}


def test_draining_receivers_are_remembered_up_to_a_limit():
    one = directory(draining(*map(str, range(MAX_REMEMBERED_DRAINING + 10))), ready())
    one.apply_listing(ready("0", str(MAX_REMEMBERED_DRAINING)), "a")
    assert states(one) == {"0": False}


def test_receiver_from_platform_entry():
    entry = {
        "backend": "engines",
        "address": "10.128.0.9:8080",
        "zone": "east",
        "generation": "v1",
        "capacity": 16,
        "state": "draining",
        "cold_left_ms": 12,
        "later": [1],
        "id": "i-1",
    }
    assert receiver_from_platform(entry) == Receiver("i-1", "engines", "10.128.0.9:8080", "east", 16, True, 12.0, "v1")


def test_receiver_round_trips_through_record():
    one = receiver("1", draining=True, warm_up_left_ms=3.0, generation="v2")
    assert receiver_from_record(one.to_record()) == one


@pytest.mark.parametrize("entry", [{}, {"id": "1"}, [], {"id": "1", "backend": "x", "address": "y", "capacity": "z"}])
def test_invalid_platform_entry_is_rejected(entry):
    with pytest.raises((KeyError, TypeError, ValueError)):
        receiver_from_platform(entry)
