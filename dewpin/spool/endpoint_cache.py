"""On-disk cache of the latest endpoint list from the agent, for the next start.

The file `list` contains a complete list (a snapshot) and one line for each later change; it is rewritten when the
changes outgrow the snapshot. Its size is limited to a share of the disk limit. The cache does not choose between two
lists: `is_newer_than` only compares their revisions if the same agent assigned both.
"""

import os
from collections.abc import Sequence
from typing import Any

import msgspec

from ..core.model import ReceiverState
from ..log import events, log_event
from ..ports import EndpointEntry

CACHE_FILE = "list"
DISK_SHARE = 1.0 / 32.0
"""Share of the disk limit for both files of a rewrite together."""
CHANGE_ALLOWANCE_BYTES = 2048
"""Bytes of changes that may follow a snapshot of any size."""
MAX_GONE_RECEIVERS = 200
"""Maximum number of receivers that are kept after they are gone."""

Row = list[Any]
"""An entry in the file: id, destination, state, host, port, zone, kind, weight."""


def encode_row(entry: EndpointEntry | tuple[Any, ...]) -> Row:
    """Return an entry as a row for JSON."""
    receiver_id, destination, state, address, zone, kind, weight = entry
    return [receiver_id.decode("latin-1"), destination, state, *address, zone, kind, weight]


def decode_row(row: Sequence[Any]) -> EndpointEntry:
    """Return the entry of a row. Raises ValueError if the row has the wrong length."""
    receiver_id, destination, state, host, port, zone, kind, weight = row
    return EndpointEntry(receiver_id.encode("latin-1"), destination, state, (host, port), zone, kind, weight)


def max_cache_bytes(disk_bytes: float) -> float:
    """Return the part of a disk limit that the cache may use."""
    return disk_bytes * DISK_SHARE


class EndpointCache:
    """The cached endpoint list in a sender's folder.

    `agent_address`: host:port of the agent that assigns the revisions. `rows`: the latest entry of each receiver, by
    id. `revision`: None if there is no list. `is_from_other_agent`: whether another agent sent the list, whose
    revisions can't be compared. `snapshot_bytes`: size of the complete list at the start of the file."""

    def __init__(self, folder: Any, agent_address: str, disk_bytes: float) -> None:
        self.path = os.path.join(folder, CACHE_FILE)
        self.agent_address = agent_address
        self.max_bytes = max_cache_bytes(disk_bytes)
        self.rows: dict[str, Row] = {}
        self.revision: int | None = None
        self.is_from_other_agent = False
        self.size_bytes = self.snapshot_bytes = 0
        self._is_writable = True
        try:
            with open(self.path, "rb") as file:
                self._load(file.read())
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError, msgspec.MsgspecError) as error:
            self._discard(f"{type(error).__name__}: {error}")

    def is_newer_than(self, revision: int) -> bool:
        """Return whether this list is newer than that revision; always False if another agent sent it."""
        return self.revision is not None and not self.is_from_other_agent and self.revision > revision

    def entries(self) -> list[EndpointEntry]:
        """Return all receivers in the list, including those that are gone."""
        return [decode_row(row) for row in self.rows.values()]

    def unavailable_at_other_agent(self) -> list[EndpointEntry]:
        """Return the receivers that another agent reported as draining or gone.

        A list of the current agent does not override these states, as it may be the older one."""
        return [
            decode_row(row) for row in self.rows.values() if self.is_from_other_agent and row[2] != ReceiverState.READY
        ]

    def update(
        self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool, revision: int, now_ms: float
    ) -> None:
        """Store a complete list or a change to it; `now_ms` is Unix time. An error is logged and clears the cache."""
        has_no_snapshot = self.revision is None or self.is_from_other_agent
        if not self._is_writable or not is_complete and has_no_snapshot:
            return
        rows = [encode_row(entry) for entry in entries]
        self._merge(rows, is_complete)
        self.revision, self.is_from_other_agent = revision, False
        line = self._encode_line(rows, is_complete, now_ms)
        try:
            if is_complete or self.size_bytes + len(line) > 2 * self.snapshot_bytes + CHANGE_ALLOWANCE_BYTES:
                self._rewrite(now_ms)
            else:
                with open(self.path, "ab", buffering=0) as file:
                    file.write(line)
                self.size_bytes += len(line)
        except OSError as error:
            self._discard(str(error))

    def reconfigure(self, agent_address: str, disk_bytes: float) -> None:
        """Apply changed settings. The list of a new agent is cached once it has sent a complete one."""
        self.max_bytes = max_cache_bytes(disk_bytes)
        if agent_address != self.agent_address:
            self.agent_address, self.is_from_other_agent = agent_address, True

    def stop_writing(self) -> None:
        """Disable writing, as another process owns the folder from now on."""
        self._is_writable = False

    def _load(self, content: bytes) -> None:
        for line in content.splitlines(keepends=True):
            if not line.endswith(b"\n"):
                break  # the process was killed while writing it
            update = msgspec.json.decode(line)
            self._merge(update["list"], update["whole"])
            if "agent" in update:
                self.is_from_other_agent = update["agent"] != self.agent_address
            self.revision, self.size_bytes = int(update["revision"]), self.size_bytes + len(line)
            self.snapshot_bytes = self.snapshot_bytes or self.size_bytes

    def _encode_line(self, rows: list[Row], is_complete: bool, now_ms: float) -> bytes:
        line: dict[str, Any] = {"revision": self.revision, "at": round(now_ms), "whole": is_complete, "list": rows}
        if is_complete:
            line["agent"] = self.agent_address
        return msgspec.json.encode(line) + b"\n"

    def _rewrite(self, now_ms: float) -> None:
        line = self._encode_line(list(self.rows.values()), True, now_ms)
        max_file_bytes = 2 * len(line) + CHANGE_ALLOWANCE_BYTES
        if max_file_bytes + len(line) > self.max_bytes:
            self._discard(f"the list exceeds {self.max_bytes / 3.0:.0f} bytes; increase limits.disk to cache it")
            return
        with open(self.path + ".new", "wb") as file:
            file.write(line)
        os.replace(self.path + ".new", self.path)
        self.size_bytes = self.snapshot_bytes = len(line)

    def _merge(self, rows: list[Row], is_complete: bool) -> None:
        if is_complete:
            self.rows = {}
        for row in rows:
            self.rows.pop(row[0], None)  # so that the most recently changed row is the last one
            self.rows[row[0]] = row
        gone_ids = [receiver_id for receiver_id, row in self.rows.items() if row[2] == ReceiverState.GONE]
        for receiver_id in gone_ids[:-MAX_GONE_RECEIVERS]:
            del self.rows[receiver_id]

    def _discard(self, reason: str) -> None:
        """Clear the cache until the next complete list; until then a start uses the list in the platform's file."""
        log_event(events.LIST_NOT_CACHED, why=reason)
        self.rows, self.revision, self.size_bytes, self.snapshot_bytes = {}, None, 0, 0
        for path in (self.path, self.path + ".new"):
            try:
                os.unlink(path)
            except OSError:
                pass
