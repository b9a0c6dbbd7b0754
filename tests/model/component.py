"""Real objects as components of a model's state.

The objects under test are mutable and some are suspended in coroutines, so they cannot be copied. A component keeps for
each of its states the events that first led to it. A step replays these on a new object, applies one more event and
interns the result by its fingerprint. Each step is computed once; the search itself only handles state numbers.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Protocol

Event = tuple[Any, ...]
Output = Hashable


class Part(Protocol):
    """A real object in an environment provided by the model."""

    def apply(self, event: Event) -> Output:
        """Applies an event and returns the object's output."""

    def fingerprint(self) -> Hashable:
        """Everything that its later behaviour depends on."""


class Component:
    """The states of one part, by number; state 0 is the one that `make` returns."""

    def __init__(self, make: Callable[[], Part]) -> None:
        self._make = make
        self._numbers: dict[Hashable, int] = {}
        self._histories: list[tuple[Event, ...]] = []
        self._fingerprints: list[Hashable] = []
        self._steps: dict[tuple[int, Event], tuple[int, Output]] = {}
        self._intern(make(), ())

    def step(self, number: int, event: Event) -> tuple[int, Output]:
        """The number of the state after `event` in the given state, and the output."""
        known = self._steps.get((number, event))
        if known is None:
            known = self._steps[(number, event)] = self._replay(number, event)
        return known

    def fingerprint(self, number: int) -> Any:
        """The fingerprint of a state."""
        return self._fingerprints[number]

    def _replay(self, number: int, event: Event) -> tuple[int, Output]:
        part = self._make()
        for past in self._histories[number]:
            part.apply(past)
        output = part.apply(event)
        return self._intern(part, (*self._histories[number], event)), output

    def _intern(self, part: Part, history: tuple[Event, ...]) -> int:
        fingerprint = part.fingerprint()
        number = self._numbers.setdefault(fingerprint, len(self._numbers))
        if number == len(self._histories):
            self._histories.append(history)
            self._fingerprints.append(fingerprint)
        return number


class InternTable:
    """Assigns numbers to messages, so that a state contains numbers only."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self.values: list[Any] = []

    def number(self, value: Any) -> int:
        """The number of a message; equal messages have the same number."""
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
    """A proposal in progress, without its callables: the change follows from the state of its owner."""
    if proposal is None:
        return None
    attributes = {name: one for name, one in vars(proposal).items() if not callable(one)}
    return freeze(attributes)


def await_position(coroutine: Any) -> Hashable:
    """Where a coroutine is suspended: function names and line numbers, innermost last."""
    places = []
    while coroutine is not None and getattr(coroutine, "cr_frame", None) is not None:
        places.append((coroutine.cr_code.co_name, coroutine.cr_frame.f_lineno))
        coroutine = coroutine.cr_await
    return tuple(places)
