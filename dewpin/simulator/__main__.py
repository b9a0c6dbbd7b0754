"""Reads batches from standard input and writes replies to standard output until input ends."""

import sys

from . import wire
from .adapter import Adapter


def main() -> int:
    """Answers every batch; gives the exit code: 1 after input that is not of this wire."""
    adapter = Adapter()
    read, write = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := wire.read_batch(read)) is not None:
            write.write(adapter.answer(batch))
            write.flush()
    except wire.WireFormatError as error:
        print(f"dewpin: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
