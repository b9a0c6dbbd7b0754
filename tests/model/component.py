"""Real objects as parts of a model's state.

The objects under test are mutable and some wait inside coroutines, so they can't be copied. A component keeps for each
of its states the events that led there first; a step replays these on a new object, applies one event more and interns
the outcome by its fingerprint. Each step is computed once: the search itself only follows numbers.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Protocol

Event = tuple[Any, ...]
Output = Hashable


class Live(Protocol):
    """A real object with the surroundings that the model gives it."""

    def apply(self, event: Event) -> Output:
        """Takes an event; returns what the object let out."""

    def fingerprint(self) -> Hashable:
        """All that its later behaviour depends on."""


class Component:
    """The states of one part, by number; number 0 is the state that `make` gives."""

    def __init__(self, make: Callable[[], Live]) -> None:
        self._make = make
        self._numbers: dict[Hashable, int] = {}
        self._histories: list[tuple[Event, ...]] = []
        self._fingerprints: list[Hashable] = []
        self._steps: dict[tuple[int, Event], tuple[int, Output]] = {}
        self._intern(make(), ())

    def step(self, number: int, event: Event) -> tuple[int, Output]:
        """The state after `event` in the state of that number, and what was let out."""
        known = self._steps.get((number, event))
        if known is None:
            known = self._steps[(number, event)] = self._replay(number, event)
        return known

    def fingerprint(self, number: int) -> Any:
        """The fingerprint of a state."""
        return self._fingerprints[number]

    def _replay(self, number: int, event: Event) -> tuple[int, Output]:
        live = self._make()
        for past in self._histories[number]:
            live.apply(past)
        output = live.apply(event)
        return self._intern(live, (*self._histories[number], event)), output

    def _intern(self, live: Live, history: tuple[Event, ...]) -> int:
        fingerprint = live.fingerprint()
        number = self._numbers.setdefault(fingerprint, len(self._numbers))
        if number == len(self._histories):
            self._histories.append(history)
            self._fingerprints.append(fingerprint)
        return number


class Interned:
    """Messages by number, so that a state holds numbers only."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self.values: list[Any] = []

    def number(self, value: Any) -> int:
        """The number of a message; equal messages have the same one."""
        number = self._numbers.setdefault(freeze(value), len(self._numbers))
        if number == len(self.values):
            self.values.append(value)
        return number


def freeze(value: Any) -> Hashable:
    """A hashable value that is equal for equal contents."""
    if isinstance(value, Mapping):
        return tuple(sorted((key, freeze(one)) for key, one in value.items()))
    if isinstance(value, (list, tuple)):
        return tuple(freeze(one) for one in value)
    if isinstance(value, (set, frozenset)):
        return frozenset(freeze(one) for one in value)
    if isinstance(value, enum.Enum):
        return value.name
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = (freeze(getattr(value, field.name)) for field in dataclasses.fields(value))
        return (type(value).__name__, *fields)
    return value


def freeze_proposal(proposal: Any) -> Hashable:
    """A proposal under way; its change is known from where its owner stands."""
    if proposal is None:
        return None
    held = {name: one for name, one in vars(proposal).items() if not callable(one)}
    return freeze(held)


def position(coroutine: Any) -> Hashable:
    """Where a waiting coroutine stands: function and line, innermost last."""
    places = []
    while coroutine is not None and getattr(coroutine, "cr_frame", None) is not None:
        places.append((coroutine.cr_code.co_name, coroutine.cr_frame.f_lineno))
        coroutine = coroutine.cr_await
    return tuple(places)
