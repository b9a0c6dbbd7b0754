"""Writes programs.json: what senders call at a store for the turns and the budget of a program.

made on c8a68c2 with: PYTHONPATH=tests:. .venv/bin/python tests/golden/tier/make_programs.py
"""

import json
from pathlib import Path

from golden.tier_api import programs


def main() -> None:
    path = Path(__file__).with_name("programs.json")
    path.write_text(json.dumps(programs.program_transcript(), indent=1) + "\n")


if __name__ == "__main__":
    main()
