"""The bodies of the operator's configurations, by digest: a state is sent without a body that the receiver has.

A body of more than a page is never sent along. Whoever lacks it fetches it by pages, so that no message occupies a slow
link for longer than heartbeats can bear, and the pages received before a failure are kept for the next attempt.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Collection
from typing import cast

from dewpin.cluster.body_messages import BodyPage, BodyRequest, configuration_digest
from dewpin.cluster.rpc import Message, RpcClient, RpcError
from dewpin.controlplane.register.messages import BODY, WireState
from dewpin.controlplane.register.system_state import SystemState, base_generation_of

log = logging.getLogger(__name__)

PAGE_CHARACTERS = 128 * 1024
PAGE_TIMEOUT_S = 1.0
"""One page at 2 Mbit/s with half the link taken."""
MAX_BODIES = 4
MAX_CHARACTERS = 16 * 1024 * 1024
"""Of all bodies together; the newest always stays. Peers may still be fetching one that was replaced since."""


class BodyUnavailableError(RpcError):
    """A body that could not be fetched completely, or that is not the one of its digest."""

    def __init__(self, detail: str) -> None:
        super().__init__("body_unavailable", detail)


class ConfigurationBodies:
    """The bodies that this process has, the one used last at the end."""

    def __init__(self, client: RpcClient) -> None:
        self._client = client
        self._bodies: OrderedDict[str, str] = OrderedDict()
        self._fetching = asyncio.Lock()
        self._partial_digest = ""
        self._partial_pages: list[str] = []

    def digests(self) -> tuple[str, ...]:
        """The digests of the bodies."""
        return tuple(self._bodies)

    def body(self, digest: str) -> str | None:
        """The body with that digest, None if it is unknown here."""
        return self._bodies.get(digest)

    def add(self, state: SystemState) -> None:
        """Stores the body of a state's configuration; drops the ones used least recently above the limits."""
        configuration = state["configuration"]
        if configuration is None:
            return
        self._bodies[configuration["digest"]] = configuration["body"]
        self._bodies.move_to_end(configuration["digest"])
        while len(self._bodies) > 1 and self._exceeds_limits():
            self._bodies.popitem(last=False)

    def _exceeds_limits(self) -> bool:
        return len(self._bodies) > MAX_BODIES or sum(map(len, self._bodies.values())) > MAX_CHARACTERS

    def to_wire(self, state: SystemState, known_digests: Collection[str]) -> WireState:
        """The state for a process that has these bodies; without its body if that is one of them, or long."""
        self.add(state)
        configuration = state["configuration"]
        if configuration is None:
            return cast(WireState, state)
        if configuration["digest"] not in known_digests and len(configuration["body"]) <= PAGE_CHARACTERS:
            return cast(WireState, state)
        return {**state, "configuration": {name: field for name, field in configuration.items() if name != "body"}}

    async def from_wire(self, state: WireState, source: str) -> SystemState:
        """The complete state. A missing body is fetched from the process at `source`; RpcError if it can't be."""
        configuration = state["configuration"]
        if configuration is not None and "body" not in configuration:
            body = await self._get_or_fetch(
                str(configuration["digest"]), base_generation_of(cast(SystemState, state)), source
            )
            state = {**state, "configuration": {**configuration, "body": body}}
        complete = cast(SystemState, state)
        self.add(complete)
        return complete

    async def handle_request(self, message: Message) -> Message:
        """Replies with a page of a body. Raises BodyUnavailableError where the body is unknown."""
        request = BodyRequest.decode(message)
        body = self._bodies.get(request.digest)
        if body is None:
            raise BodyUnavailableError(request.digest)
        return BodyPage(body[request.offset : request.offset + PAGE_CHARACTERS], len(body)).encode()

    async def _get_or_fetch(self, digest: str, base_generation: int, source: str) -> str:
        """A body from here or from `source`. One is fetched at a time: side by side they would share the link and the
        time-out, and none would be completed."""
        if digest in self._bodies:
            return self._bodies[digest]
        async with self._fetching:
            if digest in self._bodies:
                return self._bodies[digest]
            body = await self._fetch(digest, source)
            if configuration_digest(body.encode(), base_generation) != digest:
                raise BodyUnavailableError(f"{digest}: other bytes")
            self._bodies[digest] = body
            return body

    async def _fetch(self, digest: str, source: str) -> str:
        if self._partial_digest != digest:
            self._partial_digest, self._partial_pages = digest, []
        received = sum(map(len, self._partial_pages))
        while True:
            request = BodyRequest(BODY, digest, received)
            page = BodyPage.decode(await self._client.call(source, request.encode(), PAGE_TIMEOUT_S))
            self._partial_pages.append(page.part)
            received += len(page.part)
            if received >= page.length or not page.part:
                break
        body = "".join(self._partial_pages)
        self._partial_digest, self._partial_pages = "", []
        return body
