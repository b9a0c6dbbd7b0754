"""Answers the watches of the relay tree: at once where there is news for the caller, else with the next news."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from .receivers import ReceiverDirectory
from .relay_messages import RelayNews, StateJson, WatchRequest
from .rpc import Message

WATCH_HEARTBEAT_S = 1.0


@dataclass(frozen=True, slots=True)
class RelayedKnowledge:
    """What a process passes on: the newest system state, the receivers, and how old their list is."""

    state: StateJson | None
    directory: ReceiverDirectory
    list_age_s: float


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
        """Answers with news, or after a heartbeat without."""
        request = WatchRequest.decode(message)
        if request.waits and not _has_news(self._knowledge(), request):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), WATCH_HEARTBEAT_S)
        return _news(self._knowledge(), request).encode()


def _is_newer(state: StateJson | None, version: int) -> bool:
    return state is not None and state["version"] > version


def _has_news(knowledge: RelayedKnowledge, request: WatchRequest) -> bool:
    has_state = _is_newer(knowledge.state, request.state_version)
    return has_state or knowledge.directory.version > request.receivers_version


def _news(knowledge: RelayedKnowledge, request: WatchRequest) -> RelayNews:
    directory = knowledge.directory
    has_receivers = directory.version > request.receivers_version
    return RelayNews(
        receivers_version=directory.version,
        list_age_s=knowledge.list_age_s,
        state=knowledge.state if _is_newer(knowledge.state, request.state_version) else None,
        receivers=tuple(directory.receivers.values()) if has_receivers else None,
    )
