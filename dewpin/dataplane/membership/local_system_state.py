"""The system state of a sender.

A new state may arrive without the body of its configuration, which is then fetched separately. Until the body is
available, the previous configuration stays in effect, together with all other parts of the new state.
"""

from __future__ import annotations

from dewpin.cluster.relay_messages import StateJson, generation_of, has_body
from dewpin.dataplane.membership.body_fetch import BodyName


class LocalSystemState:
    """The newest system state and the newest complete one.

    newest: the newest received state; None before the first one.
    complete: the newest state whose configuration has its body; None before the first one.

    Invariant: both are the same object unless the body of `newest` is missing.
    """

    def __init__(self) -> None:
        self.complete: StateJson | None = None
        self.newest: StateJson | None = None

    @property
    def newest_version(self) -> int:
        """The version of the newest state; -1 before the first one."""
        return int(self.newest["version"]) if self.newest is not None else -1

    @property
    def is_complete(self) -> bool:
        """Whether the newest state has its body."""
        return self.complete is self.newest

    @property
    def generation(self) -> int:
        """The generation of the newest configuration that has its body; 0 without one."""
        return generation_of(self.complete)

    @property
    def missing_body(self) -> BodyName | None:
        """The name of the missing body of the newest state; None if the state is complete."""
        if self.newest is None or self.is_complete:
            return None
        configuration = self.newest["configuration"]
        return BodyName(str(configuration["digest"]), int(configuration["base"]))

    @property
    def effective(self) -> StateJson:
        """The newest state, with the last complete configuration instead of one whose body is missing."""
        assert self.newest is not None
        if self.is_complete:
            return self.newest
        configuration = self.complete.get("configuration") if self.complete is not None else None
        return {**self.newest, "configuration": configuration}

    def body_of(self, digest: str) -> str | None:
        """Return the configuration body with this digest; None if it is not available."""
        configuration = self.complete.get("configuration") if self.complete is not None else None
        if configuration is None or configuration.get("digest") != digest:
            return None
        return str(configuration["body"])

    def update(self, state: StateJson) -> bool:
        """Adopt a received state if it is newer or completes the newest one; return whether it was adopted.

        Raises KeyError or ValueError if the state is malformed.
        """
        state = self._with_known_body(state)
        completes = has_body(state) and not self.is_complete and state["version"] == self.newest_version
        if state["version"] <= self.newest_version and not completes:
            return False
        if has_body(state):
            self.complete = state
        else:
            int(state["configuration"]["base"])
        self.newest = state
        return True

    def add_body(self, digest: str, body: str) -> bool:
        """Add a verified body; return whether it was the missing one."""
        if self.newest is None or self.missing_body is None or self.missing_body.digest != digest:
            return False
        self.newest = self.complete = _with_body(self.newest, body)
        return True

    def _with_known_body(self, state: StateJson) -> StateJson:
        if has_body(state):
            return state
        body = self.body_of(str(state["configuration"]["digest"]))
        return state if body is None else _with_body(state, body)


def _with_body(state: StateJson, body: str) -> StateJson:
    return {**state, "configuration": {**state["configuration"], "body": body}}
