"""Sticky keys: requests that need the same cached state have the same key."""

import pytest
from dataplane.peers import request

from dewpin.dataplane.routing.affinity import hash_fraction, sticky_key


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ([("Program", "p"), ("Session", "s")], "p"),
        ([("Session", "s"), ("X-Dewpin-Prompt-Prefix", "aa:1,bb:2")], "s"),
        ([("X-Dewpin-Prompt-Prefix", "aa:1,bb:2,cc:3")], "bb"),
        ([("X-Dewpin-Prompt-Prefix", "aa:1")], "aa"),
        ([], None),
    ],
)
def test_sticky_key_of_prompt(fields, key):
    assert sticky_key(request(*fields)) == key


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ([("X-Dewpin-Session-Affinity", "17"), ("Program", "p")], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("Program", "p")], "17"),
        ([("Cookie", "a=b; x-dewpin-session-affinity=17; c")], "17"),
        ([("Cookie", "a=b"), ("Cookie", "X-Dewpin-Session-Affinity=17")], "17"),
        ([("Cookie", 'X-Dewpin-Session-Affinity="17"')], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=1=7")], "1=7"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17; X-Dewpin-Session-Affinity=18")], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=; =; ;"), ("Program", "p")], "p"),
        ([("Cookie", "NotX-Dewpin-Session-Affinity=17")], None),
        ([("X-Dewpin-Session-Affinity", " ")], None),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("Program", "p"), ("X-Dewpin-Prompt-Prefix", "a:1,b:2")], "p"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("X-Dewpin-Prompt-Prefix", "a:1,b:2")], "a"),
    ],
)
def test_sticky_key_without_prompt_is_the_affinity_value(fields, key):
    assert sticky_key(request(*fields)) == key


def test_hash_fraction_is_deterministic():
    assert hash_fraction("session") == hash_fraction("session")
    assert 0 <= hash_fraction("session") < 1
