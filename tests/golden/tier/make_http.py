"""Writes http.json: what is said by HTTP with the operator, the platform, clients and receivers.

made on c8a68c2 with: PYTHONPATH=tests:. .venv/bin/python tests/golden/tier/make_http.py
"""

import json
from pathlib import Path

from golden import tier_api, tier_http


def main() -> None:
    written = {
        "operator": tier_http.operator_transcript(),
        "readiness": tier_http.readiness_transcript(),
        "platform": tier_http.platform_transcript(),
        "clients": {name: tier_http.client_transcript(name) for name in tier_http.client_cases()},
        "own_answers": tier_api.own_answers(),
        "chunk": tier_api.rendered_chunk(b"part of a body \xff").decode("latin-1"),
        "releases": tier_api.releases_of_stopping_sender(),
        "released": tier_api.released_answer(),
        "placements": tier_api.placements(),
    }
    path = Path(__file__).with_name("http.json")
    path.write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    main()
