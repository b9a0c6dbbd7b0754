"""Request affinity: the key that directs related requests to the receiver that has cached their state."""

from hashlib import blake2b

from dewpin.dataplane.http11.messages import AFFINITY, PROMPT_PREFIX, Headers, Request


def sticky_key(request: Request) -> str | None:
    """Return the affinity key of a request, or None if it has none.

    Requests with a prompt prefix are keyed by program, session or the last shared part of the prefix; other requests by
    the object that they refer to, then by program or session.
    """
    headers = request.headers
    prompt_prefix = headers.get(PROMPT_PREFIX)
    program = headers.get("program") or headers.get("session")
    if prompt_prefix is None:
        return affinity_value(headers) or program
    parts = prompt_prefix.split(",")
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return program or shared.partition(":")[0].strip() or None


def affinity_value(headers: Headers) -> str | None:
    """Return the affinity value from its header, else from the first cookie of that name (RFC 6265, 4.2)."""
    header_value = (headers.get(AFFINITY) or "").strip()
    if header_value:
        return header_value
    for pair in "; ".join(headers.get_all("cookie")).split(";"):
        name, _, value = pair.partition("=")
        value = value.strip().strip('"')
        if name.strip().lower() == AFFINITY and value:
            return value
    return None


def hash_fraction(key: str) -> float:
    """Hash a key to a number in [0, 1); every sender computes the same number."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") / 2**32
