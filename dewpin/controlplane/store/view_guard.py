"""The view under which a store answers requests, and the checks applied to every request.

A request carries the epoch of the caller's view and the id of the target member. The epoch is checked before and after
the storage transaction, so that no reply computed under an older view is sent.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable
from typing import Protocol, TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.message_fields import MalformedMessageError
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_requests import RequestHeader
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.storage import StorageError

_VIEW_NAME = "store_view"
"""Name of the row in `meta` that holds the durable view as JSON."""

Result = TypeVar("Result")


class TransactionalStorage(Protocol):
    """The interface of the storage that a store uses."""

    async def transact(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` in a transaction; return its result once it is synced to disk. Raises StorageError."""


class ViewGuard:
    """The current view of one member, and the checks of requests against it.

    `member_id`: id of this member, the incarnation of its data directory.
    `replica_count`: number of replicas of each key, 2 f + 1.
    `view`: the view under which requests are answered; None before the first one. Its epoch never decreases.
    `storage`: database of the view and the records.
    """

    def __init__(
        self,
        storage: TransactionalStorage,
        member_id: str,
        replica_count: int,
        on_view: Callable[[StoreView], None],
    ) -> None:
        """Start without a view; `on_view` is called with each adopted view."""
        self.storage = storage
        self.member_id = member_id
        self.replica_count = replica_count
        self.view: StoreView | None = None
        self._on_view = on_view
        self._durable_epoch = -1

    async def load(self) -> None:
        """Adopt the durable view of the previous run of the process. Raises StorageError."""
        view = await self.storage.transact(read_durable_view)
        if view is not None:
            self._durable_epoch = view.epoch
            self.adopt(view)

    def adopt(self, view: StoreView) -> bool:
        """Switch to `view` if it is newer than the current view; return whether it is."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        self.view = view
        self._on_view(view)
        return True

    async def make_view_durable(self) -> StoreView:
        """Make the current view durable, so that no restart reverts it, and return it.

        Raises StorageError, and RpcError (`stale_epoch`) before the first view.
        """
        view = self.view
        if view is None:
            raise RpcError(wire.STALE_EPOCH, "no view yet", {"view": None})
        if view.epoch > self._durable_epoch:
            await self.storage.transact(lambda connection: _write_view(connection, view))
            self._durable_epoch = max(self._durable_epoch, view.epoch)
        return view

    def check_view(self, message: Message) -> StoreView:
        """Return the view under which to answer the request `message`.

        A newer view in the request is adopted first. Raises RpcError: `another_incarnation` if the request is addressed
        to another member, `stale_epoch` (with this store's view) if the epochs differ, `malformed` if the header
        is invalid.
        """
        header = decode_request(RequestHeader.decode, message)
        if header.member != self.member_id:
            raise RpcError(wire.WRONG_MEMBER, self.member_id)
        if header.view is not None:
            self.adopt(header.view)
        view = self.view
        if view is None or header.epoch != view.epoch:
            own_view = None if view is None else view.to_json()
            raise RpcError(wire.STALE_EPOCH, "another epoch is in force", {"view": own_view})
        return view

    def check_replica(self, message: Message, program: str) -> None:
        """Check `message` with `check_view`, and that this store is a replica of `program`.

        Raises RpcError as `check_view` does, and RpcError (`not_replica`) if this store is not a replica.
        """
        view = self.check_view(message)
        if not view.holds(self.member_id, program, self.replica_count):
            raise RpcError(wire.NOT_REPLICA, program)

    async def transact(self, view_epoch: int, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` in a transaction for a request under `view_epoch` and return its result.

        Raises RpcError: `storage_failed`, or `stale_epoch` if another view was adopted in the meantime.
        """
        try:
            result = await self.storage.transact(work)
        except StorageError as failure:
            raise RpcError(wire.STORAGE_FAILED, str(failure)) from failure
        view = self.view
        if view is None or view.epoch != view_epoch:
            raise RpcError(wire.STALE_EPOCH, "the view changed", {"view": view and view.to_json()})
        return result


def decode_request(decode: Callable[[Message], Result], message: Message) -> Result:
    """Decode a message with `decode`. Raises RpcError (`malformed`) instead of MalformedMessageError."""
    try:
        return decode(message)
    except MalformedMessageError as error:
        raise RpcError(wire.MALFORMED, str(error)) from error


def read_durable_view(connection: sqlite3.Connection) -> StoreView | None:
    """Return the durable view; None if none was stored."""
    row = connection.execute("SELECT value FROM meta WHERE name = ?", (_VIEW_NAME,)).fetchone()
    return None if row is None else StoreView.from_json(json.loads(row[0]))


def _write_view(connection: sqlite3.Connection, view: StoreView) -> None:
    connection.execute(
        "INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (_VIEW_NAME, json.dumps(view.to_json()))
    )
