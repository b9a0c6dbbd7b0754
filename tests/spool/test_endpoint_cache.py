"""The endpoint cache: a truncated file still contains a list, and the size of the file is limited."""

import random

from dewpin.spool.endpoint_cache import DISK_SHARE, EndpointCache, decode_row, encode_row


def entry_of(number, state="ready"):
    return b"r%d" % number, number % 3, state, ("127.0.0.1", 9000 + number), "a", "k", 1.0


def states_by_id(cache):
    return {entry.receiver_id: entry.state for entry in cache.entries()}


def test_next_start_finds_the_last_update_wherever_the_file_was_truncated(tmp_path):
    rng, cache, expected, file_sizes = random.Random(4), EndpointCache(tmp_path, "a:1", 3e6), {}, []
    cache_file = tmp_path / "list"
    for revision in range(300):
        is_complete = revision % 70 == 0
        update = [entry_of(rng.randrange(20), rng.choice(("ready", "draining", "gone"))) for _ in range(2)]
        cache.update(update, is_complete, revision, 0.0)
        expected = ({} if is_complete else expected) | {entry[0]: entry[2] for entry in update}
        reopened = EndpointCache(tmp_path, "a:1", 3e6)
        assert states_by_id(reopened) == expected == states_by_id(cache) and reopened.revision == revision
        file_sizes.append(cache_file.stat().st_size)
    assert max(file_sizes) < 3 * 20 * 60 + 2 * 2048
    content = cache_file.read_bytes()
    cache_file.write_bytes(content[:-1])  # killed while writing the last line, which is ignored
    truncated = EndpointCache(tmp_path, "a:1", 3e6)
    assert truncated.revision in (None, 298) and not truncated.is_newer_than(299)
    cache_file.write_bytes(b"{]" + content)
    assert EndpointCache(tmp_path, "a:1", 3e6).entries() == [] and not cache_file.exists()
    assert decode_row(encode_row(entry_of(5))) == entry_of(5)


def test_list_of_another_agent_is_never_newer_and_its_unavailable_receivers_stay_so(tmp_path):
    cache = EndpointCache(tmp_path, "a:1", 3e6)
    cache.update([entry_of(1), entry_of(2, "draining")], True, 40, 0.0)
    assert cache.is_newer_than(39) and not cache.is_newer_than(40) and not cache.unavailable_at_other_agent()
    other = EndpointCache(tmp_path, "b:1", 3e6)
    assert not other.is_newer_than(0)
    assert [entry.receiver_id for entry in other.unavailable_at_other_agent()] == [b"r2"]
    other.update([entry_of(3)], False, 7, 0.0)  # ignored, as the new agent has not sent a complete list yet
    assert EndpointCache(tmp_path, "a:1", 3e6).is_newer_than(39)
    other.update([entry_of(3)], True, 7, 0.0)
    assert states_by_id(EndpointCache(tmp_path, "b:1", 3e6)) == {b"r3": "ready"}


def test_list_larger_than_its_share_of_the_disk_is_not_cached(tmp_path):
    cache, disk_bytes = EndpointCache(tmp_path, "a:1", 2e5), 2e5
    for count in (10, 20, 200):
        cache.update([entry_of(number) for number in range(count)], True, count, 0.0)
        cached_bytes = sum(path.stat().st_size for path in tmp_path.iterdir())
        assert cached_bytes <= disk_bytes * DISK_SHARE and (tmp_path / "list").exists() == (count < 200)
    cache.update([entry_of(number, "gone") for number in range(1000)], True, 9, 0.0)
    assert len(cache.rows) <= 200
