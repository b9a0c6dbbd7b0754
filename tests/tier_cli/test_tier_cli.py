"""The command line of the tier: validation of files, and requests to a scripted operator API on loopback."""

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
from dewpin.controlplane.membership.leases import RELAY_FAN_OUT
from dewpin.tier_cli.commands import app


@dataclass
class ScriptedOperatorApi:
    """An operator API that returns scripted responses and records requests."""

    address: str = ""
    responses: dict[str, tuple[int, bytes, dict[str, str]]] = field(default_factory=dict)
    requests: list[tuple[str, str, dict[str, str], bytes]] = field(default_factory=list)


@pytest.fixture
def operator_api() -> Iterator[ScriptedOperatorApi]:
    script = ScriptedOperatorApi()

    class Handler(BaseHTTPRequestHandler):
        def respond(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            script.requests.append((self.command, self.path, dict(self.headers), body))
            status, response, headers = script.responses[self.path]
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(response)))
            self.end_headers()
            self.wfile.write(response)

        do_GET = do_POST = respond

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
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


@pytest.fixture
def valid_file(tmp_path: Path) -> Path:
    path = tmp_path / "valid.json"
    path.write_text(json.dumps(samples.configuration(), indent=1))
    return path


@pytest.fixture
def invalid_file(tmp_path: Path) -> Path:
    raw = samples.configuration()
    raw["routes"][0]["timeout_ms"] = 0
    raw["routes"][1]["split"][0]["backend"] = "gone"
    path = tmp_path / "invalid.json"
    path.write_text(json.dumps(raw))
    return path


ERRORS = [
    "routes[0].timeout_ms: expected more than 0, got 0",
    "routes[1].split[0].backend: there is no service 'gone'",
]


def test_check_of_valid_configuration_succeeds(valid_file: Path):
    result = run("config", "check", valid_file)
    assert (result.exit_code, result.stdout) == (0, f"{valid_file}: valid, generation 7, 2 routes, 2 services\n")
    result = run("config", "check", valid_file, "--json")
    assert json.loads(result.stdout) == {"valid": True, "generation": 7, "routes": 2, "services": 2}


def test_check_estimates_minimum_propagation_time(valid_file: Path):
    result = run("config", "check", valid_file, "--link-mbps", "15", "--json")
    report = json.loads(result.stdout)
    compressed = report["compressed_bytes"]
    assert 100 < compressed < valid_file.stat().st_size
    assert report["least_seconds"] == round(compressed * 8 * RELAY_FAN_OUT / 15e6, 3)
    result = run("config", "check", valid_file, "--link-mbps", "0.1")
    assert (
        f"{compressed} bytes compressed, at least {compressed * 8 * RELAY_FAN_OUT / 1e5:.2f} s to all" in result.stdout
    )


def test_check_rejects_link_rate_of_0(valid_file: Path):
    result = run("config", "check", valid_file, "--link-mbps", "0")
    assert result.exit_code == 2 and "--link-mbps" in result.stderr


def test_check_of_invalid_configuration_lists_all_errors(invalid_file: Path):
    result = run("config", "check", invalid_file)
    assert (result.exit_code, result.stdout, result.stderr.splitlines()) == (2, "", ERRORS)
    result = run("config", "check", invalid_file, "--json")
    assert (result.exit_code, json.loads(result.stdout)) == (2, {"faults": ERRORS})


def test_check_of_missing_file_exits_with_file_error(tmp_path: Path):
    assert run("config", "check", tmp_path / "none.json").exit_code == 1
    assert run("settings", "check", tmp_path / "none.toml").exit_code == 1


def test_check_of_settings_lists_all_errors(tmp_path: Path):
    path = tmp_path / "settings.toml"
    path.write_text(samples.SETTINGS)
    result = run("settings", "check", path)
    assert (result.exit_code, result.stdout) == (0, f"{path}: valid, front-east-1 serves front\n")
    path.write_text(samples.SETTINGS.replace('"10.1.0.30"', "3").replace("bootstrap = true", 'bootstrap = "x"'))
    result = run("settings", "check", path)
    assert result.exit_code == 2
    assert result.stderr.splitlines() == ["ip: expected a string, got 3", "bootstrap: expected true or false, got 'x'"]


def test_version_is_printed(valid_file: Path):
    assert run("version").stdout.startswith(f"dewpin {__version__}, ")
    assert json.loads(run("version", "--json").stdout)["version"] == __version__


def test_wrong_arguments_exit_with_invalid():
    assert run("config", "check").exit_code == 2
    assert run("unknown").exit_code == 2


def test_get_returns_configuration_byte_for_byte(operator_api: ScriptedOperatorApi, tmp_path: Path):
    body = b'{"generation":7,  "routes":[],"services":[]}'
    operator_api.responses["/dewpin/Config.Get"] = 200, body, {}
    assert run("config", "get", "--address", operator_api.address).stdout_bytes == body + b"\n"
    output = tmp_path / "got.json"
    assert run("config", "get", "--address", operator_api.address, "--output", output).exit_code == 0
    assert output.read_bytes() == body


def test_get_without_configuration_exits_with_rejected(operator_api: ScriptedOperatorApi):
    operator_api.responses["/dewpin/Config.Get"] = 404, b'{"errors":["no configuration yet"]}', {}
    result = run("config", "get", "--address", operator_api.address)
    assert (result.exit_code, result.stderr) == (3, "no configuration yet\n")


def test_put_without_base_uses_the_current_version(operator_api: ScriptedOperatorApi, valid_file: Path):
    operator_api.responses["/dewpin/Config.Get"] = 200, b'{"generation":5,"routes":[],"services":[]}', {}
    operator_api.responses["/dewpin/Config.Put"] = 200, b'{"generation":7}', {}
    result = run("config", "put", valid_file, "--address", operator_api.address, "--json")
    assert json.loads(result.stdout) == {"acknowledged": True, "generation": 7, "base": 5}
    method, path, headers, body = operator_api.requests[-1]
    assert (method, path, headers["X-Dewpin-Base-Version"]) == ("POST", "/dewpin/Config.Put", "5")
    assert body == valid_file.read_bytes()


def test_first_put_has_base_version_0(operator_api: ScriptedOperatorApi, valid_file: Path):
    operator_api.responses["/dewpin/Config.Get"] = 404, b'{"errors":["no configuration yet"]}', {}
    operator_api.responses["/dewpin/Config.Put"] = 200, b"", {}
    assert run("config", "put", valid_file, "--address", operator_api.address).exit_code == 0
    assert operator_api.requests[-1][2]["X-Dewpin-Base-Version"] == "0"


@pytest.mark.parametrize("response", [(503, b"", {}), (200, b'{"generation":', {})])
def test_put_is_not_sent_when_current_version_is_unknown(
    operator_api: ScriptedOperatorApi, valid_file: Path, response: Any
):
    operator_api.responses["/dewpin/Config.Get"] = response
    assert run("config", "put", valid_file, "--address", operator_api.address).exit_code == 4
    assert [path for _, path, _, _ in operator_api.requests] == ["/dewpin/Config.Get"]


def test_put_follows_redirects(operator_api: ScriptedOperatorApi, valid_file: Path):
    operator_api.responses["/dewpin/Config.Put"] = 307, b"", {"Location": f"http://{operator_api.address}/elsewhere"}
    operator_api.responses["/elsewhere"] = 200, b"", {}
    assert run("config", "put", valid_file, "--address", operator_api.address, "--base", "5").exit_code == 0
    assert [path for _, path, _, _ in operator_api.requests] == ["/dewpin/Config.Put", "/elsewhere"]
    _, _, headers, body = operator_api.requests[1]
    assert body == valid_file.read_bytes() and headers["X-Dewpin-Base-Version"] == "5"


@pytest.mark.parametrize(("status", "code"), [(400, 2), (409, 3), (412, 3), (429, 4), (503, 4)])
def test_put_without_acknowledgement_prints_errors_and_exit_code(
    operator_api: ScriptedOperatorApi, valid_file: Path, status: int, code: int
):
    operator_api.responses["/dewpin/Config.Put"] = status, b'{"errors":["first","second"]}', {}
    result = run("config", "put", valid_file, "--address", operator_api.address, "--base", "5")
    assert (result.exit_code, result.stderr.splitlines()) == (code, ["first", "second"])


def test_invalid_configuration_is_not_sent(operator_api: ScriptedOperatorApi, invalid_file: Path):
    result = run("config", "put", invalid_file, "--address", operator_api.address, "--base", "5")
    assert (result.exit_code, result.stderr.splitlines(), operator_api.requests) == (2, ERRORS, [])


def test_unreachable_address_exits_with_no_response(valid_file: Path):
    assert run("config", "get", "--address", "127.0.0.1:1").exit_code == 4
    assert run("config", "put", valid_file, "--address", "127.0.0.1:1").exit_code == 4


def test_module_runs_and_reports_missing_dependency():
    result = subprocess.run([sys.executable, "-m", "dewpin.tier_cli", "version"], capture_output=True, text=True)
    assert (result.returncode, result.stdout.split()[0]) == (0, "dewpin")
    program = (
        "import sys, runpy; sys.modules['typer'] = None; sys.argv = ['x', 'version']\n"
        "runpy.run_module('dewpin.tier_cli', run_name='__main__')"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert (result.returncode, "needs dewpin[tier]" in result.stderr) == (1, True)
