"""The program that the simulator starts."""

import subprocess
import sys

from golden.sender_api.paths import ROOT

SIMULATOR_COMMAND = [sys.executable, "-m", "dewpin.simulator"]


def replies_to(batches):
    """Return all replies of the program that the simulator starts to a stream of batches."""
    completed = subprocess.run(SIMULATOR_COMMAND, input=batches, capture_output=True, cwd=ROOT, timeout=300)
    assert completed.returncode == 0, completed.stderr.decode()
    return completed.stdout


class SimulatorProgram:
    """The program that the simulator starts; it receives one batch at a time."""

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
