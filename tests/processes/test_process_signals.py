"""A stop signal wakes the main thread, whichever thread it is delivered to."""

import subprocess
import sys

import pytest

PROGRAM = """
import signal, threading
from dewpin.cluster.process.signals import ProcessSignals

signals = ProcessSignals()
assert signals.stop_signal is None and not signals.take_reload_request()

def receive_signals():
    may_signal.wait()
    for number in (signal.SIGHUP, signal.{name}):
        signal.pthread_kill(threading.get_ident(), number)

may_signal = threading.Event()
threading.Thread(target=receive_signals, daemon=True).start()
may_signal.set()
while signals.stop_signal is None:
    signals.wait()
assert signals.stop_signal is signal.{name}
assert signals.take_reload_request() and not signals.take_reload_request()
print("stopped")
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_signal_delivered_to_another_thread_wakes_the_main_thread(name):
    program = PROGRAM.format(name=name)
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=30, check=False)
    assert (result.returncode, result.stdout) == (0, "stopped\n"), result.stderr
