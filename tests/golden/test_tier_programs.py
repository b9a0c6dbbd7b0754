"""Calls of senders to a store for the turns and budget of a program, as recorded on c8a68c2 (tier/programs.json).

The step "read of the ledger" was recorded again later: c8a68c2 contacted no store and returned an outdated value.
"""

import json
from pathlib import Path

from golden.tier_api import programs

GOLDEN = json.loads((Path(__file__).parent / "tier" / "programs.json").read_text())


def test_senders_call_the_store_as_recorded():
    assert json.dumps(programs.program_transcript()) == json.dumps(GOLDEN)
