"""What the tier's processes exchange beside messages: digests, compressed frames, errors, records, placements."""

import asyncio

from golden.tier_api.json_types import Json

from dewpin.cluster.body_messages import configuration_digest, patch_digest
from dewpin.cluster.compression import CompressedOutput, IncomingBytes
from dewpin.cluster.errors import ERROR_RESPONSES, ErrorKind
from dewpin.cluster.placement import replicas
from dewpin.cluster.platform_list import PlatformList, PlatformUnavailableError
from dewpin.cluster.receivers import receiver_from_platform
from dewpin.cluster.rpc import RpcError, RpcServer
from dewpin.dataplane.routing.affinity import hash_fraction


def digests() -> Json:
    """Return the digests that identify configuration changes and bodies on the wire and on disk."""
    body = b'{"generation":7}'
    return {"configuration": configuration_digest(body, 6), "patch": patch_digest(body, 6)}


def compress(frames: list[bytes]) -> bytes:
    """Return what one side of a compressed connection sends for these frames."""
    output = CompressedOutput()
    return b"".join(output.encode(frame) for frame in frames)


def decompress(data: bytes) -> bytes:
    """Return the frames in the bytes of a compressed connection."""
    return b"".join(IncomingBytes().decode(data))


def error_table() -> Json:
    """Return how each kind of error is answered, by its name on the wire."""
    return {
        str(kind): [
            ERROR_RESPONSES[kind].status,
            ERROR_RESPONSES[kind].guarantees_not_run,
            ERROR_RESPONSES[kind].log_level,
        ]
        for kind in ErrorKind
    }


def rpc_answers() -> Json:
    """Return a process's replies to calls that it cannot serve."""

    async def rejecting(message: Json) -> Json:
        raise RpcError("stale_epoch", "another epoch is in force", {"view": None, "type": "error", "kind": "other"})

    async def failing(message: Json) -> Json:
        raise KeyError("epoch")

    async def call_handler() -> Json:
        server = RpcServer({"refusing": rejecting, "failing": failing})
        return {kind: await server.dispatch({"type": kind}) for kind in ("refusing", "failing", "unheard.of")}

    return asyncio.run(call_handler())


def platform_entry(entry: Json) -> Json:
    """Return the record that dewpin's processes exchange for an entry of the platform's list."""
    return dict(receiver_from_platform(entry).to_record())


def read_platform(address: str) -> list[Json] | str:
    """Return the records of the platform's complete list; `unavailable` if it could not be read completely."""
    try:
        return [dict(receiver.to_record()) for receiver in PlatformList(address).read()]
    except PlatformUnavailableError:
        return "unavailable"


def placements() -> Json:
    """Return the placement of keys: the replicas of each key among members, and its hash fraction for affinity."""
    members = tuple(f"m{number}" for number in range(7))
    locations = ("a/x", "a/x", "a/y", "b/x", "b/y", "b/y", "c/x")
    keys = [f"p-{number}" for number in range(8)]
    return {
        "spread": {key: sorted(replicas(key, members, 3, locations)) for key in keys},
        "no_locations": {key: sorted(replicas(key, members, 5)) for key in keys},
        "shares": {key: hash_fraction(key) for key in keys},
    }
