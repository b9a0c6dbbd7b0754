"""Writes messages.json: the bytes of each message between the processes of the serving tier.

made on c8a68c2 with: PYTHONPATH=tests:. .venv/bin/python tests/golden/tier/make_messages.py
"""

import json
from pathlib import Path

from golden.tier_api import encodings, message_cases

PLATFORM_ENTRIES = {
    "full": {
        "id": "i-1",
        "backend": "engines",
        "address": "10.1.0.9:8081",
        "zone": "east",
        "capacity": 16,
        "state": "draining",
        "cold_left_ms": 812.5,
        "generation": "v2",
        "unheard_of": 1,
    },
    "least": {"id": "i-2", "backend": "plain", "address": "10.1.0.10:8081"},
    "null": {
        "id": "i-3",
        "backend": "plain",
        "address": "10.1.0.11:8081",
        "zone": "west",
        "capacity": None,
        "state": "running",
        "cold_left_ms": None,
        "generation": "",
    },
}


def main() -> None:
    frames = {case.name: message_cases.encode_frame(case) for case in message_cases.all_cases()}
    some = [frames["lease.renew/full"], frames["relay.news/full"], frames["lease.renew/full"]]
    written = {
        "frames": {name: data.decode("latin-1") for name, data in frames.items()},
        "compressed": encodings.compress(some).decode("latin-1"),
        "decompressed": b"".join(some).decode("latin-1"),
        "digests": encodings.digests(),
        "error_table": encodings.error_table(),
        "rpc_answers": encodings.rpc_answers(),
        "platform": {
            name: {"entry": entry, "record": encodings.platform_entry(entry)}
            for name, entry in PLATFORM_ENTRIES.items()
        },
    }
    path = Path(__file__).with_name("messages.json")
    path.write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    main()
