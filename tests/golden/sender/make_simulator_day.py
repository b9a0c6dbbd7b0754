"""Made on c8a68c2 with: PYTHONPATH=tests python tests/golden/sender/make_simulator_day.py

Plays the seeded day of `simulated_day` against the program and writes what went over the wire, compressed, as
`simulator-batches.xz` and `simulator-replies.xz`. With `--check` it writes nothing and says whether both are the same.
"""

import lzma
import sys

from golden.sender.simulated_day import play_day
from golden.sender_api import paths, simulator_program


def main(arguments):
    with simulator_program.SimulatorProgram() as program:
        streams = dict(zip(("batches", "replies"), play_day(program.answer), strict=True))
    for name, content in streams.items():
        path = paths.FOLDER / f"simulator-{name}.xz"
        if "--check" in arguments:
            print(name, "same" if lzma.decompress(path.read_bytes()) == content else "DIFFERENT")
        else:
            path.write_bytes(lzma.compress(content, preset=9 | lzma.PRESET_EXTREME))


if __name__ == "__main__":
    main(sys.argv[1:])
