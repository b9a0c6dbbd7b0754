"""Affinity: which requests should go to the same receiver, because it has cached what they need."""

from hashlib import blake2b

from dewpin.dataplane.http11.messages import AFFINITY, PROMPT_PREFIX, Headers, Request


def sticky_key(request: Request) -> str | None:
    """Return the key that requests with the same cached state have in common; None if there is none.

    The cached prefix of a prompt depends on the program, the session or the last shared part of the prompt; any other
    cached state depends on the object that the request is about.
    """
    headers = request.headers
    prompt_prefix = headers.get(PROMPT_PREFIX)
    program = headers.get("program") or headers.get("session")
    if prompt_prefix is None:
        return affinity_of(headers) or program
    parts = prompt_prefix.split(",")
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return program or shared.partition(":")[0].strip() or None


def affinity_of(headers: Headers) -> str | None:
    """Return the object that a request is about, from the header or the first cookie of that name (RFC 6265, 4.2)."""
    named = (headers.get(AFFINITY) or "").strip()
    if named:
        return named
    for pair in "; ".join(headers.get_all("cookie")).split(";"):
        name, _, value = pair.partition("=")
        value = value.strip().strip('"')
        if name.strip().lower() == AFFINITY and value:
            return value
    return None


def share_of_key(key: str) -> float:
    """Return a number from 0 to below 1 that depends on the key alone, the same on every sender."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") / 2**32
