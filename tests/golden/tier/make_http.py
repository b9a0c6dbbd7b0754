"""Writes http.json: what is said by HTTP with the operator, the platform, clients and receivers.

made on c8a68c2 with: PYTHONPATH=tests:. .venv/bin/python tests/golden/tier/make_http.py
"""

import json
from pathlib import Path

from golden import tier_http
from golden.tier_api import encodings, http_servers, lease_release


def main() -> None:
    written = {
        "operator": tier_http.operator_transcript(),
        "readiness": tier_http.readiness_transcript(),
        "platform": tier_http.platform_transcript(),
        "clients": {name: tier_http.client_transcript(name) for name in tier_http.client_cases()},
        "own_answers": http_servers.own_answers(),
        "chunk": http_servers.rendered_chunk(b"part of a body \xff").decode("latin-1"),
        "releases": lease_release.releases_of_stopping_sender(),
        "released": lease_release.released_answer(),
        "placements": encodings.placements(),
    }
    path = Path(__file__).with_name("http.json")
    path.write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    main()
