"""The list of receivers as last heard from the agent, kept beside the journal for the next start.

It owns the file `list` and its size: one whole list, then a line for each change, written anew when the changes outgrow
it. What it has written survives the process. It must never take more than its share of the disk, and never say which
of two lists holds: `newer` tells only which one the same agent counted later.
"""
import os
from collections.abc import Sequence
from typing import Any

import msgspec

from ..core import model
from ..log import events, tell

NAME = "list"
SHARE = 1.0 / 32.0      # of the disk, both copies of a rewriting together
SLACK = 2048            # bytes of changes that a short list may gather
PAST = 200              # receivers that are gone, as many as are remembered at all

Entry = tuple[bytes, int, str, tuple[str, int], str | None, str | None, float]


def row(entry: Entry) -> list[Any]:
    """An entry of `net.agent.entries` as a row for JSON."""
    ident, destination, state, address, zone, kind, weight = entry
    return [ident.decode("latin-1"), destination, state, *address, zone, kind, weight]


def entry(held: Sequence[Any]) -> Entry:
    ident, destination, state, host, port, zone, kind, weight = held
    return ident.encode("latin-1"), destination, state, (host, port), zone, kind, weight


def room(disk: float) -> float:
    """Bytes of a disk's limit that are the list's."""
    return disk * SHARE


class Kept:
    """The file of one sender. `agent`: host:port, whose counting its revisions are."""

    def __init__(self, folder: str, agent: str, disk: float) -> None:
        self.path, self.agent, self.most = os.path.join(folder, NAME), agent, room(disk)
        self.rows: dict[str, list[Any]] = {}        # by the receiver's id, as the file has them
        self.revision: int | None = None
        self.other = False          # it was heard from another agent
        self.size = self.whole = 0
        self.writes = True
        try:
            with open(self.path, "rb") as file:
                self._take(file.read())
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError, msgspec.MsgspecError) as error:
            self._drop(f"{type(error).__name__}: {error}")

    def _take(self, content: bytes) -> None:
        for line in content.splitlines(keepends=True):
            if not line.endswith(b"\n"):
                break                   # the process was killed while it wrote
            held = msgspec.json.decode(line)
            self._merge(held["list"], held["whole"])
            self.other = self.other if "agent" not in held else held["agent"] != self.agent
            self.revision, self.size = int(held["revision"]), self.size + len(line)
            self.whole = self.whole or self.size

    def newer(self, revision: int) -> bool:
        """Whether this list is one that the same agent counted later than that revision."""
        return self.revision is not None and not self.other and self.revision > revision

    def entries(self) -> list[Entry]:
        return [entry(one) for one in self.rows.values()]

    def ended(self) -> list[Entry]:
        """The receivers that another agent told to drain or to be gone: whatever a list says whose age can't be
        compared, they stay so."""
        return [entry(one) for one in self.rows.values() if self.other and one[2] != model.ReceiverState.READY]

    def learn(self, entries: Sequence[Entry], whole: bool, revision: int, now: float) -> None:
        """Writes news down: a whole list or what changed, `now` in Unix ms."""
        if not self.writes or not whole and (self.revision is None or self.other):
            return
        rows = [row(one) for one in entries]
        self._merge(rows, whole)
        self.revision, self.other = revision, False
        line = self._line(rows, whole, now)
        try:
            if whole or self.size + len(line) > 2 * self.whole + SLACK:
                self._rewrite(now)
            else:
                with open(self.path, "ab", buffering=0) as file:
                    file.write(line)
                self.size += len(line)
        except OSError as error:
            self._drop(str(error))

    def _line(self, rows: list[list[Any]], whole: bool, now: float) -> bytes:
        held = {"revision": self.revision, "at": round(now), "whole": whole, "list": rows}
        return msgspec.json.encode(held | ({"agent": self.agent} if whole else {})) + b"\n"

    def _rewrite(self, now: float) -> None:
        line = self._line(list(self.rows.values()), True, now)
        if 2 * len(line) + SLACK + len(line) > self.most:
            return self._drop(f"it would take over {self.most / 3.0:.0f} bytes, a larger limits.disk holds more")
        with open(self.path + ".new", "wb") as file:
            file.write(line)
        os.replace(self.path + ".new", self.path)
        self.size = self.whole = len(line)

    def _merge(self, rows: list[list[Any]], whole: bool) -> None:
        if whole:
            self.rows = {}
        for one in rows:
            self.rows.pop(one[0], None)         # the latest change stands last
            self.rows[one[0]] = one
        gone = [ident for ident, one in self.rows.items() if one[2] == model.ReceiverState.GONE]
        for ident in gone[:-PAST]:
            del self.rows[ident]

    def _drop(self, why: str) -> None:
        """Nothing is kept until the next whole list; a start then begins with what the platform tells."""
        tell(events.LIST_KEPT, why=why)
        self.rows, self.revision, self.size, self.whole = {}, None, 0, 0
        for path in (self.path, self.path + ".new"):
            try:
                os.unlink(path)
            except OSError:
                pass

    def move(self, agent: str, disk: float) -> None:
        """Another agent may count otherwise: what it tells is kept from its first whole list on."""
        self.most = room(disk)
        if agent != self.agent:
            self.agent, self.other = agent, True

    def stop(self) -> None:
        """The folder is another process's from now on."""
        self.writes = False
