"""Breadth-first search through every state of a model, and the shortest way to a state that breaks a property."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol

State = Hashable
Label = tuple[Hashable, ...]


class Model(Protocol):
    """What can be explored. States are values; two that the model's canonical form makes equal count as one."""

    def initial(self) -> State:
        """The state to begin from."""

    def steps(self, state: State) -> Iterable[tuple[Label, State]]:
        """Every step that may be taken next: what happens, and the state after it."""

    def fault(self, state: State) -> str | None:
        """The property that the state breaks, or None."""


@dataclass(frozen=True)
class Report:
    """What a search has seen. `complete`: no state was left out for `most_states`."""

    states: int
    steps: int
    depth: int
    complete: bool
    fault: str | None = None
    trace: tuple[Label, ...] = ()

    def text(self) -> str:
        """The report in a few lines, with the trace of a fault."""
        size = f"{self.states} states, {self.steps} steps, depth {self.depth}, {'all' if self.complete else 'cut off'}"
        if self.fault is None:
            return size
        lines = [f"{number:3}. " + " ".join(map(str, label)) for number, label in enumerate(self.trace, 1)]
        return "\n".join([f"{self.fault} ({size})", *lines])


def explore(model: Model, most_states: int) -> Report:
    """Visits all states of `model`, or the first `most_states` of them; ends at the first fault."""
    start = model.initial()
    came_from: dict[State, tuple[State, Label] | None] = {start: None}
    level, depth, steps = [start], 0, 0
    while level:
        following: list[State] = []
        for state in level:
            for label, after in model.steps(state):
                steps += 1
                if after in came_from:
                    continue
                if len(came_from) >= most_states:
                    return Report(len(came_from), steps, depth, complete=False)
                came_from[after] = (state, label)
                fault = model.fault(after)
                if fault is not None:
                    return Report(len(came_from), steps, depth + 1, False, fault, _trace(came_from, after))
                following.append(after)
        level = following
        depth += 1 if level else 0
    return Report(len(came_from), steps, depth, complete=True)


def _trace(came_from: dict[State, tuple[State, Label] | None], state: State) -> tuple[Label, ...]:
    labels: list[Label] = []
    origin = came_from[state]
    while origin is not None:
        state, label = origin
        labels.append(label)
        origin = came_from[state]
    return tuple(reversed(labels))
