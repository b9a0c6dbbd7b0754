"""Rendezvous hashing and the replica sets of a store view."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from dewpin.cluster.placement import location_of, majority, max_unreachable, replica_count, replicas
from dewpin.cluster.store_view import Member, StoreView

MEMBERS = tuple(f"m{number}" for number in range(7))


def test_all_members_are_replicas_if_they_are_few():
    assert replicas("p", ("a", "b"), 3) == {"a", "b"}


def test_keys_are_distributed_evenly():
    keys_by_member = Counter(member for key in range(3000) for member in replicas(f"p{key}", MEMBERS, 3))
    assert min(keys_by_member.values()) > 0.9 * 3000 * 3 / 7


@given(st.text(max_size=20), st.sampled_from(MEMBERS))
def test_removed_member_moves_only_its_own_keys(key, gone):
    before = replicas(key, MEMBERS, 3)
    after = replicas(key, tuple(member for member in MEMBERS if member != gone), 3)
    assert (before == after) == (gone not in before)
    assert before - {gone} <= after


@given(st.integers(1, 12), st.sampled_from([1, 3, 5, 7]))
def test_every_key_has_a_majority_with_max_unreachable_members_left_out(members, count):
    size = min(members, count)
    assert size - max_unreachable(members, count) >= majority(size)


def test_view_round_trips_through_json_and_has_write_sets():
    members = tuple(Member(name, f"{name}:1") for name in "abcd")
    view = StoreView(4, members[:3], members[1:])
    assert StoreView.from_json(view.to_json()) == view
    assert view.write_sets("p", 3) == ({"a", "b", "c"}, {"b", "c", "d"})
    assert StoreView(4, members[:3]).write_sets("p", 3) == ({"a", "b", "c"},)


@given(st.text(max_size=20), st.sampled_from(["one", "two", "three"]))
def test_every_key_keeps_a_majority_after_loss_of_a_zone(key, lost):
    members = tuple(f"m{number}" for number in range(10))
    locations = tuple(location_of("r", ("one", "two", "three")[number % 3]) for number in range(10))
    for count in (3, 5):
        key_replicas = replicas(key, members, count, locations)
        remaining = [member for member in key_replicas if locations[members.index(member)] != f"r/{lost}"]
        assert len(key_replicas) == count and len(remaining) >= majority(count)


@given(st.text(max_size=20))
def test_replicas_are_spread_over_regions_before_zones(key):
    locations = ("r/one", "r/two", "r/three", "s/one", "t/one")
    key_replicas = replicas(key, tuple("abcde"), 3, locations)
    assert len({locations["abcde".index(member)].partition("/")[0] for member in key_replicas}) == 3


def test_replica_count_tolerates_the_configured_losses():
    assert replica_count(1, 0, 0) == 3
    assert replica_count(2, 1, 0) == 5
    assert replica_count(0, 1, 1) == 3


def test_view_of_older_release_has_no_locations():
    view = StoreView.from_json({"epoch": 1, "stable": {"a": "a:1"}, "next": None})
    assert view.stable == (Member("a", "a:1"),)
