"""The register's replica on disk: the value without its configuration's body, which has a row of its own."""

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
"""A row of its own for the newest promise: reads make promises, and must not write the whole state each time."""

RECOVERY_KEY = "register_recovery"
"""Row of `meta` that tells of an operator's recovery of this disk (`recovery.py`); each start logs it."""

Statement = tuple[str, tuple[Any, ...]]
_REPLACE = "INSERT OR REPLACE INTO register_replica(key, promised, accepted_ballot, value) VALUES (?,?,?,?)"


class RegisterDatabase(Protocol):
    """The part of the storage that the register needs."""

    async def write(self, statements: list[Statement]) -> None:
        """Writes in one transaction; returns once it is synced. StorageError if it may not be."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """The rows that a statement selects."""


class ReplicaStorage:
    """Reads and writes one replica. `durable_version`: of the newest value that was accepted and is on disk."""

    def __init__(self, storage: RegisterDatabase, replica: Replica) -> None:
        self._storage = storage
        self._replica = replica
        self.durable_version = -1
        self._durable_ballot = ZERO_BALLOT

    async def load(self) -> None:
        """Reads the replica from disk. StorageDamagedError if the body of its configuration is missing."""
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
        """Writes the complete replica as it is now; returns once it is synced. StorageError if it may not be."""
        replica, accepted = self._replica, self._replica.accepted
        value, bodies = _without_body(replica.value)
        row = (REGISTER_KEY, json.dumps(replica.promised), json.dumps(accepted), json.dumps(value))
        await self._storage.write([*bodies, (_REPLACE, row)])
        if accepted >= self._durable_ballot and value is not None:
            self._durable_ballot = accepted
            self.durable_version = value["version"]

    async def persist_promise(self) -> None:
        """Writes the promise alone, unless the accepted value is not on disk yet: the reply contains it as well."""
        if self._replica.accepted > self._durable_ballot:
            await self.persist()
            return
        await self._storage.write([(_REPLACE, (PROMISE_KEY, json.dumps(self._replica.promised), None, None))])

    async def _with_body(self, value: dict[str, Any]) -> SystemState:
        """The value with its body; earlier releases wrote the body into the value."""
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
    """The value for the replica's row, and the statements that keep its body, and no other, in the same transaction.

    The statement checks whether the body is there already: an earlier write may yet turn out to have failed.
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
