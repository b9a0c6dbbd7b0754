"""The tier's command line: checks of files, and orders to a scripted operator's API on loopback."""

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from click.testing import Result
from cluster import samples
from typer.testing import CliRunner

from dewpin import __version__
from dewpin.tier_cli.commands import app


@dataclass
class Scripted:
    """A peer that answers by a script and remembers what it was asked."""

    address: str = ""
    answers: dict[str, tuple[int, bytes, dict[str, str]]] = field(default_factory=dict)
    asked: list[tuple[str, str, dict[str, str], bytes]] = field(default_factory=list)


@pytest.fixture
def peer() -> Iterator[Scripted]:
    script = Scripted()

    class Handler(BaseHTTPRequestHandler):
        def answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            script.asked.append((self.command, self.path, dict(self.headers), body))
            status, reply, headers = script.answers[self.path]
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(reply)))
            self.end_headers()
            self.wfile.write(reply)

        do_GET = do_POST = answer

        def log_message(self, format: str, *args: Any) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    script.address = f"127.0.0.1:{server.server_port}"
    yield script
    server.shutdown()
    thread.join()
    server.server_close()


def run(*arguments: str | Path) -> Result:
    return CliRunner().invoke(app, [str(one) for one in arguments])


@pytest.fixture
def valid(tmp_path: Path) -> Path:
    path = tmp_path / "valid.json"
    path.write_text(json.dumps(samples.configuration(), indent=1))
    return path


@pytest.fixture
def faulty(tmp_path: Path) -> Path:
    raw = samples.configuration()
    raw["routes"][0]["timeout_ms"] = 0
    raw["routes"][1]["split"][0]["backend"] = "gone"
    path = tmp_path / "faulty.json"
    path.write_text(json.dumps(raw))
    return path


FAULTS = [
    "routes[0].timeout_ms: expected more than 0, got 0",
    "routes[1].split[0].backend: there is no service 'gone'",
]


def test_a_valid_configuration_is_said_to_be_so(valid: Path):
    done = run("config", "check", valid)
    assert (done.exit_code, done.stdout) == (0, f"{valid}: valid, generation 7, 2 routes, 2 services\n")
    done = run("config", "check", valid, "--json")
    assert json.loads(done.stdout) == {"valid": True, "generation": 7, "routes": 2, "services": 2}


def test_every_fault_of_a_configuration_is_named(faulty: Path):
    done = run("config", "check", faulty)
    assert (done.exit_code, done.stdout, done.stderr.splitlines()) == (2, "", FAULTS)
    done = run("config", "check", faulty, "--json")
    assert (done.exit_code, json.loads(done.stdout)) == (2, {"faults": FAULTS})


def test_a_file_that_is_not_there_has_a_code_of_its_own(tmp_path: Path):
    assert run("config", "check", tmp_path / "none.json").exit_code == 1
    assert run("settings", "check", tmp_path / "none.toml").exit_code == 1


def test_settings_are_checked(tmp_path: Path):
    path = tmp_path / "settings.toml"
    path.write_text(samples.SETTINGS)
    done = run("settings", "check", path)
    assert (done.exit_code, done.stdout) == (0, f"{path}: valid, front-east-1 serves front\n")
    path.write_text(samples.SETTINGS.replace('"10.1.0.30"', "3").replace("bootstrap = true", 'bootstrap = "x"'))
    done = run("settings", "check", path)
    assert done.exit_code == 2
    assert done.stderr.splitlines() == ["ip: expected a string, got 3", "bootstrap: expected true or false, got 'x'"]


def test_the_version(valid: Path):
    assert run("version").stdout.startswith(f"dewpin {__version__}, ")
    assert json.loads(run("version", "--json").stdout)["version"] == __version__


def test_wrong_arguments_have_the_code_of_faults():
    assert run("config", "check").exit_code == 2
    assert run("unknown").exit_code == 2


def test_a_configuration_is_read_back_byte_for_byte(peer: Scripted, tmp_path: Path):
    body = b'{"generation":7,  "routes":[],"services":[]}'
    peer.answers["/dewpin/Config.Get"] = 200, body, {}
    assert run("config", "get", "--address", peer.address).stdout_bytes == body + b"\n"
    output = tmp_path / "got.json"
    assert run("config", "get", "--address", peer.address, "--output", output).exit_code == 0
    assert output.read_bytes() == body


def test_where_there_is_no_configuration_the_tier_refuses(peer: Scripted):
    peer.answers["/dewpin/Config.Get"] = 404, b'{"errors":["no configuration yet"]}', {}
    done = run("config", "get", "--address", peer.address)
    assert (done.exit_code, done.stderr) == (3, "no configuration yet\n")


def test_a_configuration_is_put_on_the_version_in_force(peer: Scripted, valid: Path):
    peer.answers["/dewpin/Config.Get"] = 200, b'{"generation":5,"routes":[],"services":[]}', {}
    peer.answers["/dewpin/Config.Put"] = 200, b'{"generation":7}', {}
    done = run("config", "put", valid, "--address", peer.address, "--json")
    assert json.loads(done.stdout) == {"acknowledged": True, "generation": 7, "base": 5}
    method, path, headers, body = peer.asked[-1]
    assert (method, path, headers["X-Dewpin-Base-Version"]) == ("POST", "/dewpin/Config.Put", "5")
    assert body == valid.read_bytes()


def test_a_first_configuration_is_put_on_version_0(peer: Scripted, valid: Path):
    peer.answers["/dewpin/Config.Get"] = 404, b'{"errors":["no configuration yet"]}', {}
    peer.answers["/dewpin/Config.Put"] = 200, b"", {}
    assert run("config", "put", valid, "--address", peer.address).exit_code == 0
    assert peer.asked[-1][2]["X-Dewpin-Base-Version"] == "0"


@pytest.mark.parametrize("reply", [(503, b"", {}), (200, b'{"generation":', {})])
def test_a_version_in_force_that_is_not_told_is_not_guessed(peer: Scripted, valid: Path, reply: Any):
    peer.answers["/dewpin/Config.Get"] = reply
    assert run("config", "put", valid, "--address", peer.address).exit_code == 4
    assert [path for _, path, _, _ in peer.asked] == ["/dewpin/Config.Get"]


def test_a_put_follows_to_where_it_is_sent(peer: Scripted, valid: Path):
    peer.answers["/dewpin/Config.Put"] = 307, b"", {"Location": f"http://{peer.address}/elsewhere"}
    peer.answers["/elsewhere"] = 200, b"", {}
    assert run("config", "put", valid, "--address", peer.address, "--base", "5").exit_code == 0
    assert [path for _, path, _, _ in peer.asked] == ["/dewpin/Config.Put", "/elsewhere"]
    assert peer.asked[1][3] == valid.read_bytes() and peer.asked[1][2]["X-Dewpin-Base-Version"] == "5"


@pytest.mark.parametrize(("status", "code"), [(400, 2), (409, 3), (412, 3), (429, 4), (503, 4)])
def test_a_put_that_is_not_acknowledged_tells_why(peer: Scripted, valid: Path, status: int, code: int):
    peer.answers["/dewpin/Config.Put"] = status, b'{"errors":["first","second"]}', {}
    done = run("config", "put", valid, "--address", peer.address, "--base", "5")
    assert (done.exit_code, done.stderr.splitlines()) == (code, ["first", "second"])


def test_a_faulty_configuration_is_not_sent(peer: Scripted, faulty: Path):
    done = run("config", "put", faulty, "--address", peer.address, "--base", "5")
    assert (done.exit_code, done.stderr.splitlines(), peer.asked) == (2, FAULTS, [])


def test_an_address_that_does_not_answer_has_a_code_of_its_own(valid: Path):
    assert run("config", "get", "--address", "127.0.0.1:1").exit_code == 4
    assert run("config", "put", valid, "--address", "127.0.0.1:1").exit_code == 4


def test_the_module_runs_and_says_what_it_needs():
    done = subprocess.run([sys.executable, "-m", "dewpin.tier_cli", "version"], capture_output=True, text=True)
    assert (done.returncode, done.stdout.split()[0]) == (0, "dewpin")
    program = (
        "import sys, runpy; sys.modules['typer'] = None; sys.argv = ['x', 'version']\n"
        "runpy.run_module('dewpin.tier_cli', run_name='__main__')"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert (done.returncode, "needs dewpin[tier]" in done.stderr) == (1, True)
