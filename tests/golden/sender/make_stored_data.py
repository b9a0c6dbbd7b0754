"""Made on c8a68c2 with: PYTHONPATH=tests python tests/golden/sender/make_stored_data.py

Writes the sender's journals, cached lists and hand-over log under `stored`, and what they hold as JSON files. With
`--check` it writes nothing there and says whether each file would be the same.
"""

import json
import shutil
import sys
import tempfile
from pathlib import Path

from golden.sender import stored_scenes as scenes
from golden.sender_api import paths, stored_data

STORED = paths.FOLDER / "stored"


def lines(facts, depth=2):
    """JSON with a line for each item of the two uppermost levels."""
    if not depth or not facts or not isinstance(facts, dict | list):
        return json.dumps(facts)
    if isinstance(facts, list):
        return "[\n" + ",\n".join(lines(one, depth - 1) for one in facts) + "\n]"
    return "{\n" + ",\n".join(f"{json.dumps(name)}: {lines(one, depth - 1)}" for name, one in facts.items()) + "\n}"


class Made:
    def __init__(self, folder):
        self.folder = folder

    def put(self, name, content):
        (self.folder / name).write_bytes(content)

    def facts(self, name, facts):
        (self.folder / name).write_text(lines(facts) + "\n")

    def journal(self, name, *steps, disk_bytes=scenes.DISK_BYTES):
        with tempfile.TemporaryDirectory() as state:
            answers, contents = scenes.write_journal(state, *steps, disk_bytes=disk_bytes)
            self.put(f"{name}.journal", (Path(state) / "journal").read_bytes())
            again = scenes.opened(state)
            self.facts(f"{name}.json", {"answers": answers, "when_written": contents, "when_opened": again})
            executed = scenes.opened(state, assume_executed=True)
            self.facts(f"{name}-assumed-executed.json", executed)
            self.facts(f"{name}-inspected.json", stored_data.inspected(state))
        return (self.folder / f"{name}.journal").read_bytes()

    def broken_journal(self, name, content, spare=None):
        """A journal that no program has written whole; contents and file after a start."""
        self.put(f"{name}.journal", content)
        if spare is not None:
            self.put(f"{name}.journal.new", spare)
        with tempfile.TemporaryDirectory() as state:
            path = Path(state) / "journal"
            path.write_bytes(content)
            if spare is not None:
                (Path(state) / "journal.new").write_bytes(spare)
            inspected = stored_data.inspected(state)
            contents = scenes.opened(state)
            left = sorted(one.name for one in Path(state).iterdir())
            self.facts(
                f"{name}.json",
                {"inspected": inspected, "when_opened": contents, "files": left, "bytes": path.stat().st_size},
            )

    def cached_list(self, name, steps):
        with tempfile.TemporaryDirectory() as state:
            contents = scenes.write_list(state, steps)
            self.put(f"{name}.list", (Path(state) / "list").read_bytes())
            other = stored_data.CachedList(state, scenes.OTHER_AGENT, scenes.DISK_BYTES)
            again = stored_data.CachedList(state, scenes.AGENT, scenes.DISK_BYTES)
            self.facts(
                f"{name}.json",
                {"when_written": contents, "when_opened": again.contents(), "at_another_agent": other.contents()},
            )

    def hand_over_log(self):
        with tempfile.TemporaryDirectory() as state:
            answers = scenes.write_hand_over_log(state)
            self.put("hand-over.journal", (Path(state) / "journal").read_bytes())
            self.put("hand-over.tail", (Path(state) / "tail").read_bytes())
            journal = stored_data.Journal(state, scenes.DISK_BYTES)
            consumed = stored_data.consumed_hand_over_log(state, journal)
            journal.close()
            self.facts("hand-over.json", {"answers": answers, "consumed": consumed})
            self.put("hand-over-consumed.journal", (Path(state) / "journal").read_bytes())


def make(folder):
    made = Made(folder)
    every_state = made.journal("every-state", scenes.EVERY_STATE)
    made.journal("compacted", scenes.EVERY_STATE, scenes.AFTER_COMPACTION)
    compacted = made.journal("just-compacted", scenes.EVERY_STATE, scenes.AFTER_COMPACTION[:1])
    with tempfile.TemporaryDirectory() as state:
        made.facts("compacted-by-itself.json", scenes.sizes_on_the_way(state, scenes.MANY))
    made.journal("no-room", scenes.TOO_MANY, disk_bytes=scenes.SMALL_DISK_BYTES)
    made.broken_journal("torn-in-head", every_state[:-40])
    made.broken_journal("torn-in-fields", every_state[:-3])
    made.broken_journal("corrupt-at-end", every_state[:-1] + b"\x00")
    middle = len(every_state) // 2
    flipped = bytes([every_state[middle] ^ 1])
    made.broken_journal("corrupt-in-the-middle", every_state[:middle] + flipped + every_state[middle + 1 :])
    made.broken_journal("compaction-under-way", every_state, compacted[: len(compacted) // 2])
    made.broken_journal("compaction-almost-done", every_state, compacted)
    newer = scenes.raw_record(b"Z" + bytes(8) + b"of a newer program")
    made.broken_journal("unknown-record", every_state + newer + scenes.raw_record(b"E\x01" + bytes(7)))
    senseless = scenes.raw_record(b"C\x01" + bytes(7) + b"abc")
    made.broken_journal("senseless-record", every_state + senseless + scenes.raw_record(b"E\x01" + bytes(7)))
    made.broken_journal("empty", b"")
    made.cached_list("cached", scenes.CACHED_LIST)
    made.cached_list("rewritten", scenes.REWRITTEN_LIST)
    made.cached_list("many-removed", scenes.MANY_REMOVED)
    made.hand_over_log()


def main(arguments):
    if "--check" not in arguments:
        STORED.mkdir(exist_ok=True)
        return make(STORED)
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(STORED, folder, dirs_exist_ok=True)
        make(Path(folder))
        for path in sorted(Path(folder).iterdir()):
            same = (STORED / path.name).exists() and (STORED / path.name).read_bytes() == path.read_bytes()
            print(path.name, "same" if same else "DIFFERENT")


if __name__ == "__main__":
    main(sys.argv[1:])
