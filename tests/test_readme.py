"""The example of the README runs as it is printed, and its layout names every package."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
README = (ROOT / "README.md").read_text(encoding="utf-8")


def test_dispatcher_example_runs_as_printed():
    (example,) = re.findall(r"^```python\n(.*?)^```", README, re.DOTALL | re.MULTILINE)
    names = {}
    exec(example, names)
    assert names["result"].decision is names["Decision"].RELAYED


def test_layout_names_every_package_and_no_other():
    named = set(re.findall(r"^\| `dewpin/(\w+)/` \|", README, re.MULTILINE))
    packages = {path.parent.name for path in (ROOT / "dewpin").glob("*/__init__.py")}
    assert named == packages
