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


def test_a_reading_that_changes_something_makes_a_version_and_one_that_does_not_makes_none():
    one = ReceiverDirectory()
    assert one.apply_listing(ready("1", "2"), "a") and one.version == DirectoryVersion(1, "a")
    assert not one.apply_listing(ready("1", "2"), "a") and one.version == DirectoryVersion(1, "a")
    assert one.apply_listing(ready("1"), "b") and one.version == DirectoryVersion(2, "b")


def test_getting_warm_makes_no_version_but_is_taken():
    one = directory([receiver("1", warm_up_left_ms=500.0)])
    assert not one.apply_listing([receiver("1", warm_up_left_ms=100.0)], "a")
    assert one.receivers["1"].warm_up_left_ms == 100.0


def test_the_first_reading_makes_a_version_even_of_an_empty_list():
    assert ReceiverDirectory().apply_listing([], "a")


def test_draining_is_never_taken_back_by_an_older_reading():
    one = directory(ready("1"), draining("1"))
    assert not one.apply_listing(ready("1"), "a")
    assert states(one) == {"1": True}


def test_a_receiver_that_left_after_it_drained_stays_away():
    one = directory(ready("1", "2"), draining("1") + ready("2"), ready("2"))
    assert not one.apply_listing(ready("1", "2"), "a")
    assert states(one) == {"2": False}


def test_a_receiver_that_was_missing_from_one_reading_comes_back():
    one = directory(ready("1", "2"), ready("2"))
    assert one.apply_listing(ready("1", "2"), "a")
    assert states(one) == {"1": False, "2": False}


def test_an_address_used_again_by_another_service_is_another_receiver():
    one = directory(draining("1"))
    one.apply_listing([Receiver("9", "other", "10.1.0.1:80", "east", 8)], "a")
    assert {name: [found.id for found in all_of] for name, all_of in one.by_service().items()} == {"other": ["9"]}


def test_a_copy_is_taken_only_if_it_is_newer():
    source, target = directory(ready("1")), ReceiverDirectory()
    assert copy_to(target, source) and states(target) == {"1": False}
    assert not copy_to(target, source)
    source.apply_listing(draining("1"), "a")
    assert copy_to(target, source) and states(target) == {"1": True}


def test_a_copy_takes_back_no_end_that_is_known_here():
    target = directory(draining("1"), reader="a")
    source = directory(ready("1"), reader="b")
    assert copy_to(target, source)
    assert states(target) == {"1": True}


def test_an_end_that_a_newer_copy_lacks_is_told_on_with_the_next_reading():
    """Two readers made versions side by side: the one that lost knew an end which the others must hear of."""
    loser, winner, third = directory(draining("1"), reader="a"), directory(ready("1"), reader="b"), ReceiverDirectory()
    copy_to(third, winner)
    copy_to(loser, winner)
    assert loser.apply_listing(draining("1"), "a"), "the list did not change since, the others' knowledge has to"
    assert copy_to(third, loser) and states(third) == {"1": True}
    assert not loser.apply_listing(draining("1"), "a")


def test_versions_go_on_above_those_that_senders_still_hold_after_every_reader_started_again():
    sender = ReceiverDirectory()
    copy_to(sender, directory(*(ready(str(number)) for number in range(50))))
    restarted = directory(ready("99"), reader="z")
    assert not copy_to(sender, restarted)
    restarted.observe_version(sender.version)
    assert restarted.apply_listing(ready("99"), "z")
    assert copy_to(sender, restarted) and states(sender) == {"99": False}


def test_a_private_reading_is_taken_under_the_version_as_it_is():
    one = directory(ready("1", "2"))
    version = one.version
    assert one.apply_private_listing(draining("1") + ready("2", "3"))
    assert (one.version, states(one)) == (version, {"1": True, "2": False, "3": False})
    assert not one.apply_private_listing(ready("1", "2", "3"))
    assert ReceiverDirectory().version == NO_VERSION


def test_a_shared_copy_after_a_private_reading_takes_back_no_end():
    source = directory(ready("1"))
    target = ReceiverDirectory()
    copy_to(target, source)
    target.apply_private_listing(draining("1"))
    source.apply_listing(ready("1", "2"), "a")
    assert copy_to(target, source)
    assert states(target) == {"1": True, "2": False}


def test_ends_are_remembered_up_to_a_bound():
    one = directory(draining(*map(str, range(MAX_REMEMBERED_DRAINING + 10))), ready())
    one.apply_listing(ready("0", str(MAX_REMEMBERED_DRAINING)), "a")
    assert states(one) == {"0": False}


def test_an_entry_of_the_platforms_list_is_read():
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


def test_a_record_gives_back_the_receiver():
    one = receiver("1", draining=True, warm_up_left_ms=3.0, generation="v2")
    assert receiver_from_record(one.to_record()) == one


@pytest.mark.parametrize("entry", [{}, {"id": "1"}, [], {"id": "1", "backend": "x", "address": "y", "capacity": "z"}])
def test_what_is_no_entry_is_refused(entry):
    with pytest.raises((KeyError, TypeError, ValueError)):
        receiver_from_platform(entry)
