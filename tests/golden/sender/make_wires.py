"""Made on c8a68c2 with: PYTHONPATH=tests python tests/golden/sender/make_wires.py

Plays each exchange of `wire_scenes` and writes its facts into `wires.json`, a line for each. With `--check` it writes
nothing and names those that would differ.
"""

import json
import sys

from golden.sender import wire_scenes
from golden.sender_api import paths

WIRES = paths.FOLDER / "wires.json"


def main(arguments):
    found = {name: wire_scenes.play(name) for name in wire_scenes.SCENES}
    if "--check" in arguments:
        stored = json.loads(WIRES.read_text())
        for name, facts in found.items():
            if stored.get(name) != facts:
                print(name, "DIFFERENT")
        return
    lines = [f"{json.dumps(name)}: {json.dumps(facts)}" for name, facts in found.items()]
    WIRES.write_text("{\n" + ",\n".join(lines) + "\n}\n")


if __name__ == "__main__":
    main(sys.argv[1:])
