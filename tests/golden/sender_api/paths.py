"""Where the recorded files and the checkout are."""

from pathlib import Path

FOLDER = Path(__file__).parents[1] / "sender"
"""The recorded files and the scripts that write them."""
ROOT = Path(__file__).parents[3]
"""The checkout."""
