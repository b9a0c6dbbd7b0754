"""Serves the watches of the relay tree: replies at once if there is an update for the caller, else with the next one.

A process whose state has not been confirmed by a majority for too long rejects watches, so that its callers turn to
another process.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from .body_pages import fits_page
from .errors import ErrorKind
from .receivers import ReceiverDirectory
from .relay_messages import RelayUpdate, StateJson, WatchRequest, generation_of, has_body, rounded_up_s, without_body
from .rpc import Message, RpcError

WATCH_HEARTBEAT_S = 1.0
"""A watch gets a reply after this time even without an update, which shows the caller that its parent is alive."""


@dataclass(frozen=True, slots=True)
class RelayedKnowledge:
    """The state and the receivers that a process can relay.

    `state`: the newest system state; lacks the body of its configuration while that is being fetched.
    `directory`: the receivers.
    `list_age_s`: time since the platform's list that the receivers come from was read.
    `age_s`: time since a majority confirmed the state as the newest.
    `is_current`: whether the confirmation is recent enough for the state to be relayed.
    """

    state: StateJson | None
    directory: ReceiverDirectory
    list_age_s: float
    age_s: float
    is_current: bool


class RelayService:
    """Handles the watches of the children of a process in the relay tree."""

    def __init__(self, knowledge: Callable[[], RelayedKnowledge]) -> None:
        """`knowledge` returns what the process can relay at the time of the call."""
        self._knowledge = knowledge
        self._changed = asyncio.Event()

    def announce(self) -> None:
        """Wake the watches that are waiting for an update."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle_watch(self, message: Message) -> Message:
        """Return an update after at most WATCH_HEARTBEAT_S.

        Raises RpcError (`no_quorum`) if the state of this process is not current.
        """
        request = WatchRequest.decode(message)
        if request.is_long_poll and not _has_update(self._current_knowledge(), request):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), WATCH_HEARTBEAT_S)
        return _update(self._current_knowledge(), request).encode()

    def _current_knowledge(self) -> RelayedKnowledge:
        knowledge = self._knowledge()
        if not knowledge.is_current:
            raise RpcError(ErrorKind.NO_QUORUM, "no majority has confirmed what is known here")
        return knowledge


def _is_newer(state: StateJson | None, version: int) -> bool:
    return state is not None and state["version"] > version


def _has_update(knowledge: RelayedKnowledge, request: WatchRequest) -> bool:
    has_state = _is_newer(knowledge.state, request.state_version)
    return has_state or knowledge.directory.version > request.receivers_version


def _state_for(request: WatchRequest, state: StateJson | None) -> StateJson | None:
    """Return the state for the caller, without a body that the caller already has or that does not fit in a page."""
    configuration = state.get("configuration") if state is not None else None
    if state is None or configuration is None:
        return state
    if request.body_generation is None:
        if not has_body(state):
            raise RpcError(ErrorKind.NO_QUORUM, "the newest configuration is not whole here")
        return state
    if not has_body(state) or "base" not in configuration:  # states of control servers of earlier releases lack `base`
        return state
    is_known = generation_of(state) == request.body_generation
    return without_body(state) if is_known or not fits_page(configuration["body"]) else state


def _update(knowledge: RelayedKnowledge, request: WatchRequest) -> RelayUpdate:
    directory = knowledge.directory
    has_receivers = directory.version > request.receivers_version
    return RelayUpdate(
        receivers_version=directory.version,
        list_age_s=knowledge.list_age_s,
        knowledge_age_s=rounded_up_s(knowledge.age_s),
        state=_state_for(request, knowledge.state) if _is_newer(knowledge.state, request.state_version) else None,
        receivers=tuple(directory.receivers.values()) if has_receivers else None,
    )
