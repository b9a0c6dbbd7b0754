"""Stores the register's replica on disk. The configuration body is stored in a row separate from the value."""

from __future__ import annotations

import json
from typing import Any, Protocol, cast

from dewpin.consensus import Replica
from dewpin.consensus.messages import ballot_from_json
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.messages import WireState
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.storage import StorageDamagedError

REGISTER_KEY = "system"
PROMISE_KEY = "system/promise"
"""Separate row for the newest promise: reads make promises, which must not rewrite the complete state."""

RECOVERY_KEY = "register_recovery"
"""Row of `meta` that records an operator's recovery of this disk (`recovery.py`). It is logged at each start."""

Statement = tuple[str, tuple[Any, ...]]
_REPLACE_REPLICA = "INSERT OR REPLACE INTO register_replica(key, promised, accepted_ballot, value) VALUES (?,?,?,?)"


class RegisterDatabase(Protocol):
    """The storage interface that the register requires."""

    async def write(self, statements: list[Statement]) -> None:
        """Write in one transaction; return once synced. Raises StorageError if the write may have failed."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Return the rows selected by a statement."""


class ReplicaStorage:
    """Loads and stores one replica. `durable_version` is the version of the newest accepted value on disk."""

    def __init__(self, storage: RegisterDatabase, replica: Replica) -> None:
        self._storage = storage
        self._replica = replica
        self.durable_version = -1
        self._durable_ballot = ZERO_BALLOT

    async def load(self) -> None:
        """Load the replica from disk. Raises StorageDamagedError if the body of its configuration is missing."""
        rows = await self._storage.query(
            "SELECT promised, accepted_ballot, value FROM register_replica WHERE key IN (?, ?)",
            (REGISTER_KEY, PROMISE_KEY),
        )
        for promised, accepted, value in rows:
            self._replica.promised = max(self._replica.promised, ballot_from_json(json.loads(promised)))
            if value is not None:
                self._replica.accepted = ballot_from_json(json.loads(accepted))
                self._replica.value = await self._with_body(json.loads(value))
                self.durable_version = self._replica.value["version"]
        self._durable_ballot = self._replica.accepted

    async def persist(self) -> None:
        """Write the complete replica; return once synced. Raises StorageError if the write may have failed."""
        replica, accepted = self._replica, self._replica.accepted
        value, bodies = _without_body(replica.value)
        row = (REGISTER_KEY, json.dumps(replica.promised), json.dumps(accepted), json.dumps(value))
        await self._storage.write([*bodies, (_REPLACE_REPLICA, row)])
        if accepted >= self._durable_ballot and value is not None:
            self._durable_ballot = accepted
            self.durable_version = value["version"]

    async def persist_promise(self) -> None:
        """Write only the promise, or the whole replica if its accepted value, part of the reply, is not on disk."""
        if self._replica.accepted > self._durable_ballot:
            await self.persist()
            return
        await self._storage.write([(_REPLACE_REPLICA, (PROMISE_KEY, json.dumps(self._replica.promised), None, None))])

    async def _with_body(self, value: dict[str, Any]) -> SystemState:
        """Return the value with its configuration body. Earlier releases stored the body inside the value."""
        configuration = value["configuration"]
        if configuration is not None and "body" not in configuration:
            digest = configuration["digest"]
            rows = await self._storage.query("SELECT body FROM register_bodies WHERE digest = ?", (digest,))
            if not rows:
                raise StorageDamagedError(f"no body {digest}")
            configuration["body"] = rows[0][0]
        state: SystemState = value  # type: ignore[assignment]
        return state


def _without_body(state: SystemState | None) -> tuple[WireState | None, list[Statement]]:
    """Return the value for the replica's row and the statements that store its body and delete all others.

    All are executed in one transaction. The INSERT statement itself checks whether the body is already stored, because
    an earlier write of it may still fail.
    """
    if state is None or state["configuration"] is None:
        return cast("WireState | None", state), []
    configuration = state["configuration"]
    digest = configuration["digest"]
    row = {**state, "configuration": {name: field for name, field in configuration.items() if name != "body"}}
    return row, [
        ("INSERT OR IGNORE INTO register_bodies(digest, body) VALUES (?, ?)", (digest, configuration["body"])),
        ("DELETE FROM register_bodies WHERE digest != ?", (digest,)),
    ]
