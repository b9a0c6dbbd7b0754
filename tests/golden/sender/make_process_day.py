"""Made on c8a68c2 with: PYTHONPATH=tests python tests/golden/sender/make_process_day.py

Plays the seeded day of `process_day` and writes its lines as `process-day.jsonl.xz` and what one process handed on to
the next as `stored/handed.json`. With `--check` it writes nothing and says whether both are the same.
"""

import json
import lzma
import sys
import tempfile

from golden.sender.process_day import play_day
from golden.sender_api import paths

LINES, HANDED = paths.FOLDER / "process-day.jsonl.xz", paths.FOLDER / "stored" / "handed.json"


def main(arguments):
    with tempfile.TemporaryDirectory() as folder:
        lines, handed = play_day(folder)
    content = "".join(json.dumps(line) + "\n" for line in lines).encode()
    if "--check" in arguments:
        print("process day", "same" if lzma.decompress(LINES.read_bytes()) == content else "DIFFERENT")
        print("handed on", "same" if HANDED.read_bytes() == handed else "DIFFERENT")
    else:
        LINES.write_bytes(lzma.compress(content, preset=9 | lzma.PRESET_EXTREME))
        HANDED.write_bytes(handed)


if __name__ == "__main__":
    main(sys.argv[1:])
