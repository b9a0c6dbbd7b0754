"""Memory that many threads released returns to the system."""

import subprocess
import sys

MAX_KEPT_BYTES = 15_000_000
SETTING = "print(return_released_memory())"
PROGRAM = """
import threading
from pathlib import Path
from dewpin.cluster.process.memory_allocator import return_released_memory

THREADS = 40

def resident_bytes():
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096

def hold_bodies(barrier):
    for size in (400_000, 2_000_000, 1_000_000):
        body = bytearray()
        while len(body) < size:
            body += bytes(65_536)
        barrier.wait()

SETTING
before = resident_bytes()
barrier = threading.Barrier(THREADS)
threads = [threading.Thread(target=hold_bodies, args=(barrier,)) for _ in range(THREADS)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print(resident_bytes() - before)
"""


def test_bodies_that_many_threads_held_do_not_stay():
    command = [sys.executable, "-c", PROGRAM.replace("SETTING", SETTING)]
    is_set, kept_bytes = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    assert is_set == "True"
    assert int(kept_bytes) < MAX_KEPT_BYTES
