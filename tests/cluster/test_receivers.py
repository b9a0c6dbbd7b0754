"""The receiver directory: draining is never reverted, and versions order the directories of processes."""

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


def receiver(receiver_id, **fields):
    return Receiver(receiver_id, "service", f"10.1.0.{receiver_id}:80", "east", 8, **fields)


def ready(*ids):
    return [receiver(receiver_id) for receiver_id in ids]


def draining(*ids):
    return [receiver(receiver_id, draining=True) for receiver_id in ids]


def directory(*listings, reader="a"):
    target = ReceiverDirectory()
    for listing in listings:
        target.apply_listing(listing, reader)
    return target


def copy_to(target, source):
    return target.apply_update(source.version, [receiver_from_record(record) for record in source.to_records()])


def states(target):
    return {receiver.id: receiver.draining for receiver in target.receivers.values()}


def test_listing_makes_a_version_only_if_it_changes_something():
    target = ReceiverDirectory()
    assert target.apply_listing(ready("1", "2"), "a") and target.version == DirectoryVersion(1, "a")
    assert not target.apply_listing(ready("1", "2"), "a") and target.version == DirectoryVersion(1, "a")
    assert target.apply_listing(ready("1"), "b") and target.version == DirectoryVersion(2, "b")


def test_warm_up_progress_is_applied_without_a_new_version():
    target = directory([receiver("1", warm_up_left_ms=500.0)])
    assert not target.apply_listing([receiver("1", warm_up_left_ms=100.0)], "a")
    assert target.receivers["1"].warm_up_left_ms == 100.0


def test_first_listing_makes_a_version_even_if_empty():
    assert ReceiverDirectory().apply_listing([], "a")


def test_draining_is_not_reverted_by_an_older_listing():
    target = directory(ready("1"), draining("1"))
    assert not target.apply_listing(ready("1"), "a")
    assert states(target) == {"1": True}


def test_receiver_that_left_after_draining_does_not_return():
    target = directory(ready("1", "2"), draining("1") + ready("2"), ready("2"))
    assert not target.apply_listing(ready("1", "2"), "a")
    assert states(target) == {"2": False}


def test_receiver_missing_from_one_listing_returns():
    target = directory(ready("1", "2"), ready("2"))
    assert target.apply_listing(ready("1", "2"), "a")
    assert states(target) == {"1": False, "2": False}


def test_reused_address_is_another_receiver():
    target = directory(draining("1"))
    target.apply_listing([Receiver("9", "other", "10.1.0.1:80", "east", 8)], "a")
    assert {name: [member.id for member in members] for name, members in target.by_service().items()} == {
        "other": ["9"]
    }


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
    """Two readers create versions concurrently, and the reader of the lower version knows of a draining receiver, which
    must still be published to the other processes."""
    loser, winner, third = directory(draining("1"), reader="a"), directory(ready("1"), reader="b"), ReceiverDirectory()
    copy_to(third, winner)
    copy_to(loser, winner)
    assert loser.apply_listing(draining("1"), "a"), "an unchanged list needs a new version to publish the draining"
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
    target = directory(ready("1", "2"))
    version = target.version
    assert target.apply_private_listing(draining("1") + ready("2", "3"))
    assert (target.version, states(target)) == (version, {"1": True, "2": False, "3": False})
    assert not target.apply_private_listing(ready("1", "2", "3"))
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
    target = directory(draining(*map(str, range(MAX_REMEMBERED_DRAINING + 10))), ready())
    target.apply_listing(ready("0", str(MAX_REMEMBERED_DRAINING)), "a")
    assert states(target) == {"0": False}


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
    original = receiver("1", draining=True, warm_up_left_ms=3.0, generation="v2")
    assert receiver_from_record(original.to_record()) == original


@pytest.mark.parametrize("entry", [{}, {"id": "1"}, [], {"id": "1", "backend": "x", "address": "y", "capacity": "z"}])
def test_invalid_platform_entry_is_rejected(entry):
    with pytest.raises((KeyError, TypeError, ValueError)):
        receiver_from_platform(entry)
