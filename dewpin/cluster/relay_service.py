"""Answers the watches of the relay tree: at once where there is news for the caller, else with the next news.

Whoever has been without a majority's word for too long passes nothing on: its callers are to ask another."""

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


@dataclass(frozen=True, slots=True)
class RelayedKnowledge:
    """What a process passes on: the newest system state, which may lack its configuration's body while that is on its
    way here, the receivers, and how old their list is. `age_s`: how long
    ago a majority has confirmed the state as the newest; `is_current`: whether that is short enough to pass it on."""

    state: StateJson | None
    directory: ReceiverDirectory
    list_age_s: float
    age_s: float
    is_current: bool


class RelayService:
    """The part that a parent has in the relay tree. `knowledge` returns what the process knows at that moment."""

    def __init__(self, knowledge: Callable[[], RelayedKnowledge]) -> None:
        self._knowledge = knowledge
        self._changed = asyncio.Event()

    def announce(self) -> None:
        """Wakes the watches that wait for news."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle_watch(self, message: Message) -> Message:
        """Answers with news, or after a heartbeat without. RpcError where what is known here is not current."""
        request = WatchRequest.decode(message)
        if request.waits and not _has_news(self._current_knowledge(), request):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), WATCH_HEARTBEAT_S)
        return _news(self._current_knowledge(), request).encode()

    def _current_knowledge(self) -> RelayedKnowledge:
        knowledge = self._knowledge()
        if not knowledge.is_current:
            raise RpcError(ErrorKind.NO_QUORUM, "no majority has confirmed what is known here")
        return knowledge


def _is_newer(state: StateJson | None, version: int) -> bool:
    return state is not None and state["version"] > version


def _has_news(knowledge: RelayedKnowledge, request: WatchRequest) -> bool:
    has_state = _is_newer(knowledge.state, request.state_version)
    return has_state or knowledge.directory.version > request.receivers_version


def _state_for(request: WatchRequest, state: StateJson | None) -> StateJson | None:
    """The state as the caller is to have it: without a body that it has already, or that is longer than a page."""
    configuration = state.get("configuration") if state is not None else None
    if state is None or configuration is None:
        return state
    if request.held_generation is None:
        if not has_body(state):
            raise RpcError(ErrorKind.NO_QUORUM, "the newest configuration is not whole here")
        return state
    if not has_body(state) or "base" not in configuration:  # of a control server of an earlier release
        return state
    is_held = generation_of(state) == request.held_generation
    return without_body(state) if is_held or not fits_page(configuration["body"]) else state


def _news(knowledge: RelayedKnowledge, request: WatchRequest) -> RelayUpdate:
    directory = knowledge.directory
    has_receivers = directory.version > request.receivers_version
    return RelayUpdate(
        receivers_version=directory.version,
        list_age_s=knowledge.list_age_s,
        knowledge_age_s=rounded_up_s(knowledge.age_s),
        state=_state_for(request, knowledge.state) if _is_newer(knowledge.state, request.state_version) else None,
        receivers=tuple(directory.receivers.values()) if has_receivers else None,
    )
