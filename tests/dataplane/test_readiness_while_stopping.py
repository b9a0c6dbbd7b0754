"""A sender that receives a stop signal is not ready from then on, also if several are stopped at once."""

import subprocess
import sys

SENDERS = 3
CHECKS = 5

PROGRAM = """
import http.client, os, signal, threading
from types import SimpleNamespace
from dewpin.cluster.process.signals import ProcessSignals
from dewpin.dataplane.ingress.readiness import ReadinessServer
from dewpin.dataplane.sender_process import Sender

sender = Sender(None, ProcessSignals())
confirmation = SimpleNamespace(is_confirmed=True)
sender.agent_thread.agent = SimpleNamespace(has_control_plane_contact=True, confirmation=confirmation)
sender.state.configuration = sender.state.store_view = object()
sender.state.receivers = {"service": (object(),)}
server = ReadinessServer(sender.is_ready)
server.start(("127.0.0.1", 0))
connection = http.client.HTTPConnection(*server.address, timeout=10)

def check():
    connection.request("GET", ReadinessServer.PATH)
    response = connection.getresponse()
    response.read()
    return response.status

def stop_and_check():
    print(check(), flush=True)
    sys.stdin.readline()
    os.kill(os.getpid(), signal.SIGTERM)
    while check() == 200:
        pass
    print(*[check() for _ in range(CHECKS)], flush=True)

import sys
checking = threading.Thread(target=stop_and_check, daemon=True)
checking.start()
sender.wait_for_stop_signal()
checking.join(10)
"""


def test_senders_stopped_together_are_unready_at_once():
    """The platform considers a sender unready after two consecutive checks without 200. Checks that are concurrent with
    the signal may still get 200."""
    program = PROGRAM.replace("CHECKS", str(CHECKS))
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for _ in range(SENDERS)
    ]
    for process in processes:
        assert process.stdout.readline() == "200\n", process.stderr.read()
    for process in processes:
        process.stdin.write("stop\n")
        process.stdin.flush()
    for process in processes:
        output, errors = process.communicate(timeout=30)
        assert output.split() == ["503"] * CHECKS, errors
