"""Breadth-first search through all states of a model, with the shortest path to a state that violates a property."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol

State = Hashable
Label = tuple[Hashable, ...]


class Model(Protocol):
    """A model that can be explored. States are hashable values; equal ones count as one state."""

    def initial(self) -> State:
        """The initial state."""

    def steps(self, state: State) -> Iterable[tuple[Label, State]]:
        """All possible next steps: a label and the state after the step."""

    def fault(self, state: State) -> str | None:
        """A description of the property that the state violates, or None."""


@dataclass(frozen=True)
class Report:
    """The result of a search. `complete`: all states were visited, as `max_states` was not reached."""

    states: int
    steps: int
    depth: int
    complete: bool
    fault: str | None = None
    trace: tuple[Label, ...] = ()

    def text(self) -> str:
        """The report in a few lines, with the trace to a fault."""
        size = f"{self.states} states, {self.steps} steps, depth {self.depth}, {'all' if self.complete else 'cut off'}"
        if self.fault is None:
            return size
        lines = [f"{number:3}. " + " ".join(map(str, label)) for number, label in enumerate(self.trace, 1)]
        return "\n".join([f"{self.fault} ({size})", *lines])


def explore(model: Model, max_states: int) -> Report:
    """Visits all states of `model`, or the first `max_states` of them; stops at the first fault."""
    start = model.initial()
    predecessors: dict[State, tuple[State, Label] | None] = {start: None}
    frontier, depth, steps = [start], 0, 0
    while frontier:
        next_frontier: list[State] = []
        for state in frontier:
            for label, after in model.steps(state):
                steps += 1
                if after in predecessors:
                    continue
                if len(predecessors) >= max_states:
                    return Report(len(predecessors), steps, depth, complete=False)
                predecessors[after] = (state, label)
                fault = model.fault(after)
                if fault is not None:
                    return Report(len(predecessors), steps, depth + 1, False, fault, _trace(predecessors, after))
                next_frontier.append(after)
        frontier = next_frontier
        depth += 1 if frontier else 0
    return Report(len(predecessors), steps, depth, complete=True)


def _trace(predecessors: dict[State, tuple[State, Label] | None], state: State) -> tuple[Label, ...]:
    labels: list[Label] = []
    origin = predecessors[state]
    while origin is not None:
        state, label = origin
        labels.append(label)
        origin = predecessors[state]
    return tuple(reversed(labels))
