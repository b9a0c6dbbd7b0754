"""The system state that a sender holds whole, and the newest one that it was told of, whose body may be on its way."""

from __future__ import annotations

from dewpin.cluster.relay_messages import StateJson, generation_of, has_body
from dewpin.dataplane.membership.body_fetch import BodyName


class LocalSystemState:
    """`whole`: the newest state whose configuration is here with its body; `told`: the newest state told of, which is
    the same one unless its body is lacking."""

    def __init__(self) -> None:
        self.whole: StateJson | None = None
        self.told: StateJson | None = None

    @property
    def told_version(self) -> int:
        """The version of the newest state told of; -1 before the first."""
        return int(self.told["version"]) if self.told is not None else -1

    @property
    def is_whole(self) -> bool:
        """Whether the newest state told of is held whole."""
        return self.whole is self.told

    @property
    def generation(self) -> int:
        """Of the configuration whose body is held; 0: of none."""
        return generation_of(self.whole)

    @property
    def lacking(self) -> BodyName | None:
        """The body that the newest state lacks."""
        if self.told is None or self.is_whole:
            return None
        configuration = self.told["configuration"]
        return BodyName(str(configuration["digest"]), int(configuration["base"]))

    @property
    def in_force(self) -> StateJson:
        """The newest state, with the configuration that is held whole in place of one whose body is on its way."""
        assert self.told is not None
        if self.is_whole:
            return self.told
        return {**self.told, "configuration": self.whole.get("configuration") if self.whole is not None else None}

    def body_of(self, digest: str) -> str | None:
        """The body with that digest, if it is the one held."""
        configuration = self.whole.get("configuration") if self.whole is not None else None
        if configuration is None or configuration.get("digest") != digest:
            return None
        return str(configuration["body"])

    def take(self, state: StateJson) -> bool:
        """Takes a state told of; whether it brought anything. KeyError or ValueError for one that can't be used."""
        state = self._with_held_body(state)
        completes = has_body(state) and not self.is_whole and state["version"] == self.told_version
        if state["version"] <= self.told_version and not completes:
            return False
        if has_body(state):
            self.whole = state
        else:
            int(state["configuration"]["base"])
        self.told = state
        return True

    def take_body(self, digest: str, body: str) -> bool:
        """Takes a body that was checked; whether the newest state is whole with it."""
        if self.told is None or self.lacking is None or self.lacking.digest != digest:
            return False
        self.told = self.whole = _with_body(self.told, body)
        return True

    def _with_held_body(self, state: StateJson) -> StateJson:
        if has_body(state):
            return state
        body = self.body_of(str(state["configuration"]["digest"]))
        return state if body is None else _with_body(state, body)


def _with_body(state: StateJson, body: str) -> StateJson:
    return {**state, "configuration": {**state["configuration"], "body": body}}
