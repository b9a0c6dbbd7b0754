"""The cached endpoint list: every prefix of the file is a list, and its size is bounded."""

import random

from dewpin.spool.endpoint_cache import DISK_SHARE, EndpointCache, decode_row, encode_row


def listed(number, state="ready"):
    return b"r%d" % number, number % 3, state, ("127.0.0.1", 9000 + number), "a", "k", 1.0


def states_by_id(cache):
    return {entry.receiver_id: entry.state for entry in cache.entries()}


def test_next_start_finds_the_last_update_wherever_the_file_was_truncated(tmp_path):
    random_source, cache, expected, lengths = random.Random(4), EndpointCache(tmp_path, "a:1", 3e6), {}, []
    file = tmp_path / "list"
    for revision in range(300):
        is_complete = revision % 70 == 0
        update = [
            listed(random_source.randrange(20), random_source.choice(("ready", "draining", "gone"))) for _ in range(2)
        ]
        cache.update(update, is_complete, revision, 0.0)
        expected = ({} if is_complete else expected) | {entry[0]: entry[2] for entry in update}
        reopened = EndpointCache(tmp_path, "a:1", 3e6)
        assert states_by_id(reopened) == expected == states_by_id(cache) and reopened.revision == revision
        lengths.append(file.stat().st_size)
    assert max(lengths) < 3 * 20 * 60 + 2 * 2048
    content = file.read_bytes()
    file.write_bytes(content[:-1])  # killed while it wrote: as before that line
    truncated = EndpointCache(tmp_path, "a:1", 3e6)
    assert truncated.revision in (None, 298) and not truncated.is_newer_than(299)
    file.write_bytes(b"{]" + content)
    assert EndpointCache(tmp_path, "a:1", 3e6).entries() == [] and not file.exists()
    assert decode_row(encode_row(listed(5))) == listed(5)


def test_list_of_another_agent_is_never_newer_and_its_unavailable_receivers_stay_so(tmp_path):
    cache = EndpointCache(tmp_path, "a:1", 3e6)
    cache.update([listed(1), listed(2, "draining")], True, 40, 0.0)
    assert cache.is_newer_than(39) and not cache.is_newer_than(40) and not cache.unavailable_at_other_agent()
    other = EndpointCache(tmp_path, "b:1", 3e6)
    assert not other.is_newer_than(0)
    assert [entry.receiver_id for entry in other.unavailable_at_other_agent()] == [b"r2"]
    other.update([listed(3)], False, 7, 0.0)  # without a complete list of its own there is nothing to add to
    assert EndpointCache(tmp_path, "a:1", 3e6).is_newer_than(39)
    other.update([listed(3)], True, 7, 0.0)
    assert states_by_id(EndpointCache(tmp_path, "b:1", 3e6)) == {b"r3": "ready"}


def test_list_larger_than_its_share_of_the_disk_is_not_cached(tmp_path):
    cache, disk_bytes = EndpointCache(tmp_path, "a:1", 2e5), 2e5
    for count in (10, 20, 200):
        cache.update([listed(number) for number in range(count)], True, count, 0.0)
        cached_bytes = sum(path.stat().st_size for path in tmp_path.iterdir())
        assert cached_bytes <= disk_bytes * DISK_SHARE and (tmp_path / "list").exists() == (count < 200)
    cache.update([listed(number, "gone") for number in range(1000)], True, 9, 0.0)
    assert len(cache.rows) <= 200
