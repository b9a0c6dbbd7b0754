"""Made on c8a68c2 with: PYTHONPATH=tests python tests/golden/sender/make_program.py

Runs the program once as `program_scene` says and writes what it said into `program.json`.
"""

import json
import tempfile

from golden.sender import program_scene
from golden.sender_api import paths

if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        found = program_scene.play(folder)
    lines = [f"{json.dumps(name)}: {json.dumps(facts)}" for name, facts in found.items()]
    (paths.FOLDER / "program.json").write_text("{\n" + ",\n".join(lines) + "\n}\n")
