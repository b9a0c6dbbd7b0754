"""Writes keeper-first.sqlite3 and keeper-full.sqlite3, and what is in them to database.json.

made on c8a68c2 with: PYTHONPATH=tests:. .venv/bin/python tests/golden/tier/make_database.py
"""

import json
import shutil
import tempfile
from pathlib import Path

from golden.tier_api import control_machine, stored_data

FOLDER = Path(__file__).parent


def main() -> None:
    written = {}
    for scene in ("first", "full"):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / control_machine.DATABASE
            states = stored_data.write_database(Path(folder), scene)
            shutil.copyfile(path, FOLDER / f"keeper-{scene}.sqlite3")
            dump = stored_data.dump_database(path)
            written[scene] = {"states": states, "dump": dump, "read": stored_data.read_database(Path(folder), scene)}
    (FOLDER / "database.json").write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    main()
