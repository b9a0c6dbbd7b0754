"""The README's example runs as printed, and its table of packages is complete."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
README = (ROOT / "README.md").read_text(encoding="utf-8")


def test_dispatcher_example_runs_as_printed():
    (example,) = re.findall(r"^```python\n(.*?)^```", README, re.DOTALL | re.MULTILINE)
    namespace = {}
    exec(example, namespace)
    assert namespace["result"].decision is namespace["Decision"].RELAYED


def test_package_table_lists_every_package_and_no_other():
    listed = set(re.findall(r"^\| `dewpin/(\w+)/` \|", README, re.MULTILINE))
    packages = {path.parent.name for path in (ROOT / "dewpin").glob("*/__init__.py")}
    assert listed == packages
