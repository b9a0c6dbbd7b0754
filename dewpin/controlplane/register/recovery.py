"""Recovery of a register that has lost a majority of its members for good: the operator's last resort.

The survivor with the newest version is told, while its process is stopped, which members and stores never come back. It
becomes the only member, under a new id, and its replica holds a state without them, under a ballot and a version far
above all that they may have used. So a lost member that does come back is overruled: the survivor no longer answers to
the id that the former majority knows. The other survivors stay stores, and join the register as any newcomer does.
Changes, turns and settlements that only the lost members held are gone.

Nothing is written unless all of the request is valid; see `plan_recovery`.
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
"""Added to version, ballot and epoch: more than lost members can have used without this one, at 850 changes a day."""


class RecoveryFileError(DewpinError):
    """The database can't be opened: there is none, its process still runs, or it can't be read."""


class RecoveryRefusedError(DewpinError):
    """The request is not valid; `errors` has a line for each reason, with the expected value."""

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


@dataclass(frozen=True, slots=True)
class ReplicaDescription:
    """What a replica on disk holds.

    Attributes:
        member: the id of this disk.
        is_member: whether the state names it as a member.
        version: of the newest value that was accepted here.
        generation: of the operator's configuration in it; 0 without one.
        members: the machine's name of each member, by id; empty where it is not known.
        stores: the same of the stores that hold records.
    """

    member: str
    is_member: bool
    version: int
    generation: int
    members: dict[str, str]
    stores: dict[str, str]


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """What a recovery changes: the ids that leave and stay, and the version before and after it.

    `member`: the id of this disk, which gets a new one as the only member; `remaining_stores` has it by the old one.
    """

    member: str
    lost: tuple[str, ...]
    remaining_stores: tuple[str, ...]
    version_before: int
    version_after: int
    generation: int


def describe_replica(data_dir: Path) -> ReplicaDescription:
    """Returns what the replica in a data directory holds. Raises RecoveryFileError and RecoveryRefusedError."""
    with _opened(data_dir) as connection:
        replica = _load(connection)
        member, state = incarnation_of(connection), _state_of(replica)
    names = state["names"]
    return ReplicaDescription(
        member=member,
        is_member=member in state["members"],
        version=state["version"],
        generation=_generation_of(state),
        members={one: names.get(one, "") for one in _member_ids(state)},
        stores={one: names.get(one, "") for one in sorted(state["stores"]["stable"])},
    )


def plan_recovery(data_dir: Path, lost: Collection[str]) -> RecoveryPlan:
    """Returns what `recover` would change, and changes nothing.

    `lost`: ids of the members and stores that never come back. Raises RecoveryFileError, and RecoveryRefusedError with
    every fault: the disk is no member, an id is unknown, is this member's own, or is missing, or a majority remains.
    """
    with _opened(data_dir) as connection:
        replica = _load(connection)
        return _plan(incarnation_of(connection), _state_of(replica), lost)


def recover(data_dir: Path, lost: Collection[str]) -> RecoveryPlan:
    """Leaves the lost members and stores out of the state on disk, in one transaction. Raises as `plan_recovery`."""
    with _opened(data_dir) as connection:
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
        told = json.dumps(asdict(plan))
        connection.execute("INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (RECOVERY_KEY, told))
        connection.execute("COMMIT")
        return plan


class _OpenDatabase:
    """A connection as the database of a `ReplicaStorage`: what it writes joins the transaction that is open."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    async def write(self, statements: list[Statement]) -> None:
        """Runs the statements."""
        for sql, values in statements:
            self._connection.execute(sql, values)

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """The rows that a statement selects."""
        return self._connection.execute(sql, arguments).fetchall()


@contextmanager
def _opened(data_dir: Path) -> Iterator[sqlite3.Connection]:
    """The database of a stopped control server. Raises RecoveryFileError."""
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
    errors = [*_faults_of_member(member, state), *_faults_of_lost(member, state, lost)]
    if errors:
        raise RecoveryRefusedError(errors)
    return RecoveryPlan(
        member=member,
        lost=tuple(sorted(lost)),
        remaining_stores=tuple(one for one in sorted(state["stores"]["stable"]) if one not in lost),
        version_before=state["version"],
        version_after=state["version"] + VERSION_STEP,
        generation=_generation_of(state),
    )


def _faults_of_member(member: str, state: SystemState) -> list[str]:
    errors = []
    if member not in state["members"]:
        errors.append(f"this disk, {member}: expected a member, one of {_listed(_member_ids(state))}")
    if member not in state["stores"]["stable"]:
        errors.append(f"this disk, {member}: expected a store that holds records")
    return errors


def _faults_of_lost(member: str, state: SystemState, lost: Collection[str]) -> list[str]:
    known = {*_member_ids(state), *state["stores"]["stable"]}
    errors = [f"--lost {one}: expected one of {_listed(sorted(known - {member}))}" for one in sorted(set(lost) - known)]
    if member in lost:
        errors.append(f"--lost {member}: expected another member than this disk's own")
    has_majority = all(len(members - set(lost)) >= majority_of(members) for members in quorum_sets(state))
    if has_majority:
        remaining = [one for one in _member_ids(state) if one not in lost]
        errors.append(f"--lost: expected so many that no majority remains; start {_listed(remaining)} instead")
    return errors


def _recovered_state(state: SystemState, plan: RecoveryPlan, member: str) -> SystemState:
    """The state in which the survivor is the only member, by its new id `member`."""

    def renamed(by_id: Mapping[str, str]) -> dict[str, str]:
        kept = {one: value for one, value in by_id.items() if one in plan.remaining_stores}
        return {member if one == plan.member else one: value for one, value in kept.items()}

    stores = state["stores"]
    following = state.copy()
    following["version"] = plan.version_after
    following["members"] = following["former_members"] = {member: state["members"][plan.member]}
    following["stores"] = StoreViewState(
        epoch=stores["epoch"] + VERSION_STEP,
        stable=renamed(stores["stable"]),
        next=None,
        locations=renamed(stores.get("locations", {})),
    )
    following["names"] = renamed(state["names"])
    following["retiring"] = []
    return following


def _member_ids(state: SystemState) -> list[str]:
    return sorted({*state["members"], *state["former_members"]})


def _generation_of(state: SystemState) -> int:
    configuration = state["configuration"]
    return configuration["generation"] if configuration is not None else 0


def _listed(ids: Sequence[str]) -> str:
    return ", ".join(ids) or "none"
