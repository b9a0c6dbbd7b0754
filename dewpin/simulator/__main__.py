"""Reads batches from standard input and writes replies to standard output until end of input."""

import sys

from . import wire
from .adapter import Adapter


def main() -> int:
    """Reply to every batch; return the exit code, 1 if the input violates the wire protocol."""
    adapter = Adapter()
    input_stream, output_stream = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := wire.read_batch(input_stream)) is not None:
            output_stream.write(adapter.process_batch(batch))
            output_stream.flush()
    except wire.WireFormatError as error:
        print(f"dewpin: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
