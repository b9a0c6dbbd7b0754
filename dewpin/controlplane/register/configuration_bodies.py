"""The bodies of the operator's configurations, by digest: a state travels without a body that the other side has.

A body of more than a page is never sent along. Whoever lacks it fetches it by pages, so that no message holds a slow
link up for longer than heartbeats bear, and what came before a failure is kept for the next try.
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
from dewpin.controlplane.register.system_state import SystemState, base_of

log = logging.getLogger(__name__)

PAGE_CHARACTERS = 128 * 1024
PAGE_TIMEOUT_S = 1.0
"""One page at 2 Mbit/s with half the link taken."""
MOST_BODIES = 4
MOST_CHARACTERS = 16 * 1024 * 1024
"""Of the bodies that are held beside the newest: peers may still be fetching one that was replaced since."""


class BodyUnavailable(RpcError):
    """A body that could not be fetched whole, or not that of its digest."""

    def __init__(self, detail: str) -> None:
        super().__init__("body_unavailable", detail)


class ConfigurationBodies:
    """The bodies that this process holds, the one used last at the end."""

    def __init__(self, client: RpcClient) -> None:
        self._client = client
        self._bodies: OrderedDict[str, str] = OrderedDict()
        self._fetching = asyncio.Lock()
        self._partial_digest = ""
        self._partial: list[str] = []

    def held(self) -> tuple[str, ...]:
        """The digests of the bodies held here."""
        return tuple(self._bodies)

    def body(self, digest: str) -> str | None:
        """The body with that digest, if it is held here."""
        return self._bodies.get(digest)

    def add(self, state: SystemState) -> None:
        """Holds the body of a state."""
        configuration = state["configuration"]
        if configuration is None:
            return
        self._bodies[configuration["digest"]] = configuration["body"]
        self._bodies.move_to_end(configuration["digest"])
        while len(self._bodies) > 1 and self._is_too_much():
            self._bodies.popitem(last=False)

    def _is_too_much(self) -> bool:
        return len(self._bodies) > MOST_BODIES or sum(map(len, self._bodies.values())) > MOST_CHARACTERS

    def to_wire(self, state: SystemState, held: Collection[str]) -> WireState:
        """The state for a process that holds these bodies; without its body if that is one of them, or long."""
        self.add(state)
        configuration = state["configuration"]
        if configuration is None:
            return cast(WireState, state)
        if configuration["digest"] not in held and len(configuration["body"]) <= PAGE_CHARACTERS:
            return cast(WireState, state)
        return {**state, "configuration": {name: field for name, field in configuration.items() if name != "body"}}

    async def from_wire(self, state: WireState, source: str) -> SystemState:
        """The whole state. A body that isn't held is fetched from the process at `source`; RpcError if it can't be."""
        configuration = state["configuration"]
        if configuration is not None and "body" not in configuration:
            body = await self._body(str(configuration["digest"]), base_of(cast(SystemState, state)), source)
            state = {**state, "configuration": {**configuration, "body": body}}
        whole = cast(SystemState, state)
        self.add(whole)
        return whole

    async def handle_request(self, message: Message) -> Message:
        """Answers with a page of a body."""
        request = BodyRequest.decode(message)
        body = self._bodies.get(request.digest)
        if body is None:
            raise BodyUnavailable(request.digest)
        return BodyPage(body[request.offset : request.offset + PAGE_CHARACTERS], len(body)).encode()

    async def _body(self, digest: str, base: int, source: str) -> str:
        """One body is fetched at a time, the others wait: side by side they would share the link, and none be whole."""
        if digest in self._bodies:
            return self._bodies[digest]
        async with self._fetching:
            if digest in self._bodies:
                return self._bodies[digest]
            body = await self._fetch(digest, source)
            if configuration_digest(body.encode(), base) != digest:
                raise BodyUnavailable(f"{digest}: other bytes")
            self._bodies[digest] = body
            return body

    async def _fetch(self, digest: str, source: str) -> str:
        if self._partial_digest != digest:
            self._partial_digest, self._partial = digest, []
        received = sum(map(len, self._partial))
        while True:
            answer = await self._client.call(source, BodyRequest(BODY, digest, received).encode(), PAGE_TIMEOUT_S)
            page = BodyPage.decode(answer)
            self._partial.append(page.part)
            received += len(page.part)
            if received >= page.length or not page.part:
                break
        body = "".join(self._partial)
        self._partial_digest, self._partial = "", []
        return body
