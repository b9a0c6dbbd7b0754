"""Which members hold the records of a key: rendezvous hashing, the same at every process without any talk."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

_SCORE_BYTES = 8
_CACHED_KEYS = 4096


def _score(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES).digest()


@lru_cache(maxsize=_CACHED_KEYS)
def replicas(key: str, members: tuple[str, ...], count: int) -> frozenset[str]:
    """Return the `count` members (all, if there are fewer) that hold the records of `key`."""
    if len(members) <= count:
        return frozenset(members)
    ranked = sorted(members, key=lambda member: _score(key, member), reverse=True)
    return frozenset(ranked[:count])


def majority(size: int) -> int:
    """Return the least number of `size` members that makes a majority."""
    return size // 2 + 1


def most_silent(members: int, count: int) -> int:
    """Return how many of all `members` may stay silent while every key's replicas still give a majority of answers."""
    size = min(members, count)
    return size - majority(size)
