"""Disaster recovery of a register that has permanently lost a majority of its members.

The operator stops the survivor with the newest version and names the members and stores that are permanently lost. The
survivor becomes the only member, under a new id. Its replica then contains a state without the lost ones, with a ballot
and a version far above any they may have used. A lost member that returns is superseded, because the survivor no
longer replies under the id that the former majority knows. The other survivors remain stores and rejoin the register
like new processes. Changes, turns and settlements that only the lost members stored are lost.

Nothing is written unless the complete request is valid; see `plan_recovery`.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import sqlite3
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from dewpin.cluster.errors import DewpinError
from dewpin.consensus import Ballot, Replica, majority_of
from dewpin.controlplane.register.replica_storage import RECOVERY_KEY, ReplicaStorage, Statement
from dewpin.controlplane.register.system_state import StoreViewState, SystemState, quorum_sets
from dewpin.controlplane.storage.database import open_intact_database
from dewpin.controlplane.storage.errors import SchemaTooNewError, StorageError
from dewpin.controlplane.storage.schema import INCARNATION_BYTES, incarnation_of

VERSION_STEP = 1_000_000
"""Added to version, ballot and epoch. Exceeds what the lost members can have used meanwhile, at 850 changes a day."""


class RecoveryFileError(DewpinError):
    """The database cannot be opened: it is missing or unreadable, or its process is still running."""


class RecoveryRefusedError(DewpinError):
    """The request is invalid; `errors` has one line per reason, with the expected value."""

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


@dataclass(frozen=True, slots=True)
class ReplicaDescription:
    """The contents of a replica on disk.

    Attributes:
        member: the id of this disk's incarnation.
        is_member: whether the state names it as a member.
        version: the version of the newest accepted value.
        generation: the generation of the operator's configuration; 0 if there is none.
        members: machine names of the members by id; empty if unknown.
        stores: machine names of the stable stores by id; empty if unknown.
    """

    member: str
    is_member: bool
    version: int
    generation: int
    members: dict[str, str]
    stores: dict[str, str]


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """The changes made by a recovery: the ids removed and kept, and the version before and after.

    `member`: the old id of this disk, which becomes the only member under a new id. `remaining_stores` contains the old
    id.
    """

    member: str
    lost: tuple[str, ...]
    remaining_stores: tuple[str, ...]
    version_before: int
    version_after: int
    generation: int


def describe_replica(data_dir: Path) -> ReplicaDescription:
    """Describe the replica in a data directory. Raises RecoveryFileError or RecoveryRefusedError."""
    with _open_database(data_dir) as connection:
        replica = _load(connection)
        member, state = incarnation_of(connection), _state_of(replica)
    names = state["names"]
    return ReplicaDescription(
        member=member,
        is_member=member in state["members"],
        version=state["version"],
        generation=_generation_of(state),
        members={peer_id: names.get(peer_id, "") for peer_id in _member_ids(state)},
        stores={peer_id: names.get(peer_id, "") for peer_id in sorted(state["stores"]["stable"])},
    )


def plan_recovery(data_dir: Path, lost: Collection[str]) -> RecoveryPlan:
    """Return the changes that `recover` would make, without writing anything.

    `lost`: ids of the permanently lost members and stores. Raises RecoveryFileError, or RecoveryRefusedError with all
    errors: the disk does not belong to a member with a stable store, an id is unknown or is this member's own, or a
    majority remains.
    """
    with _open_database(data_dir) as connection:
        replica = _load(connection)
        return _plan(incarnation_of(connection), _state_of(replica), lost)


def recover(data_dir: Path, lost: Collection[str]) -> RecoveryPlan:
    """Remove the lost members and stores from the state on disk, in one transaction. Raises as `plan_recovery`."""
    with _open_database(data_dir) as connection:
        replica = _load(connection)
        state = _state_of(replica)
        plan = _plan(incarnation_of(connection), state, lost)
        member = secrets.token_hex(INCARNATION_BYTES)
        replica.value = _recovered_state(state, plan, member)
        counter = max(replica.promised.counter, replica.accepted.counter) + VERSION_STEP
        replica.promised = replica.accepted = Ballot(counter, member)
        connection.execute("BEGIN IMMEDIATE")
        connection.execute("UPDATE meta SET value = ? WHERE name = 'incarnation'", (member,))
        asyncio.run(ReplicaStorage(_OpenDatabase(connection), replica).persist())
        plan_json = json.dumps(asdict(plan))
        connection.execute("INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (RECOVERY_KEY, plan_json))
        connection.execute("COMMIT")
        return plan


class _OpenDatabase:
    """Adapts a connection for `ReplicaStorage`. Its writes become part of the connection's open transaction."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    async def write(self, statements: list[Statement]) -> None:
        """Execute the statements in the open transaction."""
        for sql, values in statements:
            self._connection.execute(sql, values)

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Return the rows selected by a statement."""
        return self._connection.execute(sql, arguments).fetchall()


@contextmanager
def _open_database(data_dir: Path) -> Iterator[sqlite3.Connection]:
    """Open the database of a stopped control server. Raises RecoveryFileError."""
    try:
        connection = open_intact_database(data_dir)
    except (StorageError, SchemaTooNewError) as error:
        raise RecoveryFileError(str(error)) from error
    try:
        yield connection
    except (sqlite3.Error, StorageError) as error:
        raise RecoveryFileError(f"{data_dir}: {error}") from error
    finally:
        connection.close()


def _load(connection: sqlite3.Connection) -> Replica:
    replica = Replica()
    asyncio.run(ReplicaStorage(_OpenDatabase(connection), replica).load())
    return replica


def _state_of(replica: Replica) -> SystemState:
    if replica.value is None:
        raise RecoveryRefusedError(["this disk holds no state: expected the disk of a member"])
    state: SystemState = replica.value
    return state


def _plan(member: str, state: SystemState, lost: Collection[str]) -> RecoveryPlan:
    errors = [*_member_errors(member, state), *_lost_errors(member, state, lost)]
    if errors:
        raise RecoveryRefusedError(errors)
    return RecoveryPlan(
        member=member,
        lost=tuple(sorted(lost)),
        remaining_stores=tuple(peer_id for peer_id in sorted(state["stores"]["stable"]) if peer_id not in lost),
        version_before=state["version"],
        version_after=state["version"] + VERSION_STEP,
        generation=_generation_of(state),
    )


def _member_errors(member: str, state: SystemState) -> list[str]:
    errors = []
    if member not in state["members"]:
        errors.append(f"this disk, {member}: expected a member, one of {_join_ids(_member_ids(state))}")
    if member not in state["stores"]["stable"]:
        errors.append(f"this disk, {member}: expected a store that holds records")
    return errors


def _lost_errors(member: str, state: SystemState, lost: Collection[str]) -> list[str]:
    known = {*_member_ids(state), *state["stores"]["stable"]}
    errors = [
        f"--lost {peer_id}: expected one of {_join_ids(sorted(known - {member}))}"
        for peer_id in sorted(set(lost) - known)
    ]
    if member in lost:
        errors.append(f"--lost {member}: expected a member other than this disk's own")
    has_majority = all(len(members - set(lost)) >= majority_of(members) for members in quorum_sets(state))
    if has_majority:
        remaining = [peer_id for peer_id in _member_ids(state) if peer_id not in lost]
        errors.append(f"--lost: expected enough members that no majority remains; start {_join_ids(remaining)} instead")
    return errors


def _recovered_state(state: SystemState, plan: RecoveryPlan, member: str) -> SystemState:
    """Return the state in which the survivor is the only member, under its new id `member`."""

    def with_new_id(entries: Mapping[str, str]) -> dict[str, str]:
        remaining_entries = {peer_id: value for peer_id, value in entries.items() if peer_id in plan.remaining_stores}
        return {member if peer_id == plan.member else peer_id: value for peer_id, value in remaining_entries.items()}

    stores = state["stores"]
    next_state = state.copy()
    next_state["version"] = plan.version_after
    next_state["members"] = next_state["former_members"] = {member: state["members"][plan.member]}
    next_state["stores"] = StoreViewState(
        epoch=stores["epoch"] + VERSION_STEP,
        stable=with_new_id(stores["stable"]),
        next=None,
        locations=with_new_id(stores.get("locations", {})),
    )
    next_state["names"] = with_new_id(state["names"])
    next_state["retiring"] = []
    return next_state


def _member_ids(state: SystemState) -> list[str]:
    return sorted({*state["members"], *state["former_members"]})


def _generation_of(state: SystemState) -> int:
    configuration = state["configuration"]
    return configuration["generation"] if configuration is not None else 0


def _join_ids(ids: Sequence[str]) -> str:
    return ", ".join(ids) or "none"
