"""The network of random runs: it keeps requests, so that any may arrive late, twice or never."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, rule

MAX_KEPT_REQUESTS = 60
"""Maximum number of requests that may still arrive; the oldest are dropped."""


class RequestNetwork(RuleBasedStateMachine):
    """A state machine whose parts send requests, stored as (sender's name, text). A reply arrives when its request is
    handled, or is lost."""

    def __init__(self) -> None:
        super().__init__()
        self._requests: list[tuple[str, str]] = []
        self._handled: set[tuple[str, str]] = set()

    @rule(number=some.integers(0, MAX_KEPT_REQUESTS - 1), is_answered=some.booleans())
    def one_request(self, number: int, is_answered: bool) -> None:
        """One request arrives, late or again; its reply may be lost."""
        if number < len(self._requests):
            self._deliver(*self._requests[number], is_answered)

    def _send(self, name: str, texts: Iterable[str]) -> None:
        """Adds new requests, in an order that does not depend on the hash seed."""
        self._requests = [*self._requests, *((name, text) for text in sorted(texts))][-MAX_KEPT_REQUESTS:]

    def _pending(self, name: str) -> Iterator[str]:
        """The requests of a sender that were not handled yet and whose replies it awaits when each is yielded."""
        for sender, text in list(self._requests):
            if sender == name and (sender, text) not in self._handled and self._is_awaited(sender, text):
                yield text

    def _is_awaited(self, sender: str, text: str) -> bool:
        """Whether the sender awaits the reply."""
        raise NotImplementedError

    def _deliver(self, sender: str, text: str, is_answered: bool) -> None:
        """Delivers a request, and its reply if `is_answered`."""
        raise NotImplementedError
