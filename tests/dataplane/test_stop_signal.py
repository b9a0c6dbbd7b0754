"""A signal to stop wakes the main thread, whichever thread it is delivered to."""

import subprocess
import sys

import pytest

PROGRAM = """
import signal, threading
from dewpin.dataplane.stop_signal import StopSignal

stop = StopSignal()
assert not stop.is_set()
signal.signal(signal.SIGHUP, lambda *_: None)

def take_signals():
    waiting.wait()
    for number in (signal.SIGHUP, signal.{name}):
        signal.pthread_kill(threading.get_ident(), number)

waiting = threading.Event()
threading.Thread(target=take_signals, daemon=True).start()
waiting.set()
stop.wait()
assert stop.is_set()
print("stopped")
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_signal_delivered_to_another_thread_wakes_the_main_thread(name):
    program = PROGRAM.format(name=name)
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=30, check=False)
    assert (done.returncode, done.stdout) == (0, "stopped\n"), done.stderr
