"""The release of a sender's lease, as the sender and the control server see it."""

import asyncio
import random
import tempfile
import tomllib
from pathlib import Path

from golden.tier_api.control_machine import SETTINGS, ControlMachine
from golden.tier_api.json_types import Json

from dewpin.cluster.settings import parse_settings
from dewpin.dataplane.membership.cluster_agent import ClusterAgent


def releases_of_stopping_sender() -> list[Json]:
    """Return the messages with which a stopping sender releases its lease."""
    sent: list[Json] = []

    class Client:
        async def call(self, address: str, message: Json, timeout_s: float) -> Json:
            sent.append({**message, "sender": "its id"} if message["sender"] else message)
            return {"type": "lease.released"}

    async def run() -> None:
        settings = parse_settings(tomllib.loads(SETTINGS))
        ignore = lambda *arguments: None  # noqa: E731
        agent = ClusterAgent(settings, Client(), random.Random(1), ignore, ignore, on_sender_count=ignore)
        await agent.stop()

    asyncio.run(run())
    return sent


def released_answer() -> Json:
    """Return a control server's reply to the release of a lease."""

    async def run(folder: Path) -> Json:
        machine = ControlMachine(folder)
        try:
            return await machine.call_handler("lease.release", sender="sender-a")
        finally:
            await machine.close()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))
