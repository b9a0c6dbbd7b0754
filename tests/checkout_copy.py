"""Copies of a checkout's folders, for tests that build in a folder of their own."""

import shutil
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


def copy_folders(destination, *names, source=ROOT):
    """Copy the folders `names` of the checkout `source` to `destination`, without compiled files.

    Symbolic links are copied as links: some lead out of the checkout, to files that only some machines have.
    """
    for name in names:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(source / name, destination / name, symlinks=True, ignore=ignored)
