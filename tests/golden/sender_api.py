"""Every name of the sender's packages that the golden tests use, behind names of the tests' own.

The tests and the scripts that made the fixtures speak bytes and plain values only. A rename in `dewpin` touches this
file and no other one of `tests/golden`.
"""

import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).parent / "sender"
ROOT = Path(__file__).parents[2]
SIMULATOR_COMMAND = [sys.executable, "-m", "dewpin.drill"]


# -- the simulator's wire -----------------------------------------------------------------------------------------


def replies_to(batches):
    """All replies of the program that the simulator starts to a stream of batches."""
    done = subprocess.run(SIMULATOR_COMMAND, input=batches, capture_output=True, cwd=ROOT, timeout=300)
    assert done.returncode == 0, done.stderr.decode()
    return done.stdout


class SimulatorProgram:
    """The program that the simulator starts, asked batch by batch."""

    def __enter__(self):
        self.process = subprocess.Popen(
            SIMULATOR_COMMAND, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=ROOT
        )
        return self

    def answer(self, batch):
        self.process.stdin.write(batch)
        self.process.stdin.flush()
        head = self.process.stdout.read(8)
        return head + self.process.stdout.read(int.from_bytes(head[4:], "little"))

    def __exit__(self, *_):
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait()
