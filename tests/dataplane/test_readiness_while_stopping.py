"""Senders that are stopped, one or many at once, are soon no longer ready for the platform."""

import subprocess
import sys

SENDERS = 3
QUESTIONS = 5

PROGRAM = """
import http.client, os, signal, threading
from types import SimpleNamespace
from dewpin.dataplane.__main__ import Sender
from dewpin.dataplane.ingress.readiness import ReadinessServer

sender = Sender(None)
confirmation = SimpleNamespace(is_confirmed=True)
sender.agent_thread.agent = SimpleNamespace(has_control_plane_contact=True, confirmation=confirmation)
sender.state.configuration = sender.state.store_view = object()
sender.state.receivers = {"service": (object(),)}
server = ReadinessServer(sender.is_ready)
server.start(("127.0.0.1", 0))
connection = http.client.HTTPConnection(*server.address, timeout=10)

def ask():
    connection.request("GET", ReadinessServer.PATH)
    answer = connection.getresponse()
    answer.read()
    return answer.status

def be_stopped():
    print(ask(), flush=True)
    sys.stdin.readline()
    os.kill(os.getpid(), signal.SIGTERM)
    while ask() == 200:
        pass
    print(*[ask() for _ in range(QUESTIONS)], flush=True)

import sys
asking = threading.Thread(target=be_stopped, daemon=True)
asking.start()
sender.stop_signal.wait()
asking.join(10)
"""


def test_senders_stopped_together_are_unready_at_once():
    """Two checks in a row without a 200 make a sender unready; checks concurrent with the signal may still get one."""
    program = PROGRAM.replace("QUESTIONS", str(QUESTIONS))
    running = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for _ in range(SENDERS)
    ]
    for each in running:
        assert each.stdout.readline() == "200\n", each.stderr.read()
    for each in running:
        each.stdin.write("stop\n")
        each.stdin.flush()
    for each in running:
        output, errors = each.communicate(timeout=30)
        assert output.split() == ["503"] * QUESTIONS, errors
