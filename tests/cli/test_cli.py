"""The command line: its output, its exit codes, and that it does not affect a running sender."""

import asyncio
import json
import os
import re
import signal
import stat
import time

import pytest

from dewpin.cli.main import main
from driver import reply, run_scenario, settings, wait_until


@pytest.fixture
def run(capsys, monkeypatch):
    for name in list(os.environ):
        if name.startswith(("LB_", "DEWPIN_")):
            monkeypatch.delenv(name)

    def run_command(*arguments):
        code = main([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


@pytest.fixture
def platform(tmp_path):
    platform_settings = settings()
    platform_settings["Services"][0]["Name"] = "status"
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": platform_settings, "limits": {"memory_mb": 64}}))
    return path


def test_config_check_show_explain_schema_and_init(run, platform, tmp_path):
    file = tmp_path / "dewpin.toml"
    assert run("config", "init", file) == (0, "", "")
    assert stat.S_IMODE(file.stat().st_mode) == 0o600
    code, _, err = run("config", "init", file)
    assert code == 1 and "already exists" in err
    assert run("config", "check", file, "--platform", platform) == (0, "configuration is valid\n", "")
    file.write_text('[limits]\nmemry = "3MB"\ndisk = 3\n[control]\nsocket = "/x"\ntoken = "hush"\n')
    code, out, err = run("config", "check", file, "--platform", platform)
    assert code == 2 and not out and err.count("dewpin: dewpin.toml:") == 2 and "did you mean limits.memory?" in err
    code, out, _ = run("config", "check", "--config", file, "--platform", platform, "--json")
    assert code == 2 and [issue["line"] for issue in json.loads(out)["faults"]] == [2, 3]
    file.write_text('[control]\nsocket = "/x"\ntoken = "hush"\n')
    code, out, _ = run("config", "show", "--origin", "--json", "--config", file, "--platform", platform)
    values = json.loads(out)
    assert values["limits.memory"] == {"value": "64MB", "origin": "config.json limits.memory_mb"} and "hush" not in out
    assert values["control.socket"]["origin"] == "dewpin.toml:2"
    assert "hush" not in run("config", "show", "--config", file, "--platform", platform)[1]
    code, out, _ = run("config", "explain", "limits.memory", "--platform", platform)
    assert code == 0 and "at least 32MB" in out and "limits.memory_mb" in out and "64MB" in out
    code, _, err = run("config", "explain", "memory")
    assert code == 2 and "did you mean limits.memory?" in err
    assert json.loads(run("config", "schema")[1])["properties"]["limits"]
    incomplete = {"settings": settings() | {"Services": [{"Name": "x"}]}}
    platform.write_text(json.dumps(incomplete))
    code, _, err = run("config", "check", "--platform", platform)  # settings that the decision module requires
    assert code == 2 and "config.json: settings: the decision module lacks" in err


@pytest.mark.parametrize(
    "arguments, code, message",
    [
        (("nonsense",), 2, "No such command 'nonsense'"),
        (("config", "show", "--what"), 2, "No such option"),
        (("spool", "ls", "--state", "/nowhere"), 1, "name a sender's folder"),
        (("spool", "ls"), 2, "name it with --state"),
        (("status", "--socket", "/nowhere/at/all"), 4, "no sender responds at /nowhere/at/all"),
        (("status",), 4, "name it with --socket"),
        (("run", "--platform", "/nowhere"), 2, "No such file"),
        (("run", "--set", "limits.sockets=3"), 2, "at least 128"),
        (("completion", "tcsh"), 2, "'tcsh'"),
    ],
)
def test_errors_are_printed_to_standard_error_with_their_exit_code(run, arguments, code, message):
    exit_code, out, err = run(*arguments)
    assert exit_code == code and not out and err.startswith("dewpin: ") and message in err and "Traceback" not in err


def test_help_version_and_completion(run):
    code, out, _ = run("--help")
    assert code == 0 and all(name in out for name in ("run", "config", "spool", "status", "Exit codes", "damaged"))
    assert json.loads(run("version", "--json")[1])["dewpin"]
    assert "_DEWPIN_COMPLETE" in run("completion", "bash")[1]
    assert run()[0] == 2


def test_spool_and_status_do_not_change_a_running_sender(run, tmp_path):
    async def command(*arguments):
        return await asyncio.to_thread(run, *arguments)

    async def scenario(platform, sender):
        sender.arguments = ["--set", f"control.socket={tmp_path}/control", "--set", "control.token=hush"]
        sender.config["settings"]["Services"][2]["Deadline"] = 300_000.0  # long enough for commands that start slowly
        await sender.start()
        platform.script = lambda call: reply(429, b"Retry-After: 120")
        for number in range(5):
            await sender.submit(f"m{number}", queue_class="charge", ordering_key="k", deadline_s=290, body=b"\x1b[2Jx")
        await wait_until(lambda: platform.calls)
        state = tmp_path / "state"
        sender.process.send_signal(signal.SIGSTOP)  # otherwise it could write to the journal during the checks
        files = {path: path.stat().st_mtime_ns for path in state.iterdir()}
        code, out, _ = await command("spool", "ls", "--json", "--state", state)
        messages = json.loads(out)["mails"]
        assert code == 0 and [message["mail"] for message in messages] == [f"m{number}" for number in range(5)]
        assert messages[0]["connects"] == 1 and messages[1]["state"] == "not sent" and messages[0]["key"] == "k"
        assert (await command("spool", "ls", "--state", state, "--most", 2))[1].endswith("3 more; --most 0 lists all\n")
        code, out, _ = await command("spool", "show", "m0", "--state", state)
        assert code == 0 and "\\x1b[2Jx" in out and "\x1b" not in out and "receiver=r0" in out.replace("b'r0'", "r0")
        assert (await command("spool", "show", "zz", "--state", state))[0] == 1
        code, out, _ = await command("spool", "verify", "--state", state)
        assert code == 0 and "5 pending messages, in use by a running sender" in out
        assert json.loads((await command("spool", "stats", "--json", "--state", state))[1])["owed"] == 5
        assert files == {path: path.stat().st_mtime_ns for path in state.iterdir()}
        sender.process.send_signal(signal.SIGCONT)

        code, _, err = await command("status", "--socket", tmp_path / "control")
        assert code == 4 and "token" in err
        assert stat.S_IMODE((tmp_path / "control").stat().st_mode) == 0o600
        status_command = ("status", "--platform", tmp_path / "config.json", *sender.arguments)
        code, out, _ = await command(*status_command, "--json")
        report = json.loads(out)
        assert code == 0 and report["mails"]["held"] == 5 and report["state"] == "ready" and "hush" not in out
        (destination,) = report["lines"]
        assert destination["destination"] == 7 and destination["receivers"][0]["wait_ms"] > 2_000.0
        assert report["process"]["descriptors"] < 30 and report["receivers"]["known"] == 1
        code, out, _ = await command(*status_command)
        assert code == 0 and re.search(r"5 of \d+ held", out) and "r0" in out

        second_sender = await asyncio.create_subprocess_exec(  # acquires the lock on the same folder
            *(
                "python3",
                "-c",
                "import sys; sys.path[:0] = sys.argv[1:2]; from dewpin.spool.folder_lock import FolderLock; "
                "FolderLock.acquire(sys.argv[2])",
                os.getcwd(),
                str(state),
            ),
            stderr=asyncio.subprocess.PIPE,
        )
        assert b"another sender holds" in (await second_sender.communicate())[1]
        (state / "journal").write_bytes((state / "journal").read_bytes()[:-3])
        code, out, _ = await command("spool", "verify", "--state", state)
        assert code == 3 and re.search(r"at \d+: \d+ bytes torn", out)

    run_scenario(tmp_path, scenario, start=False)


def test_control_socket_disconnects_misbehaving_callers_and_replaces_a_stale_socket_file(tmp_path):
    path = str(tmp_path / "control")

    async def query(line):
        """Return the response, or b"" if the sender closed the connection, which may appear as a reset."""
        reader, writer = await asyncio.open_unix_connection(path)
        try:
            writer.write(line)
            return await asyncio.wait_for(reader.read(), 5.0)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def scenario(platform, sender):
        sender.arguments = ["--set", f"control.socket={path}"]
        await sender.start()
        assert b"can't be read" in await query(b"{]\n") and b"can't be read" in await query(b'{"ask":"status","x":1}\n')
        assert b"can't be asked" in await query(b'{"ask":"stop"}\n')
        assert await query(b"x" * 5000) == b""
        start = time.monotonic()
        assert await asyncio.gather(*(query(b"") for _ in range(12))) == [b""] * 12  # callers that send nothing
        assert time.monotonic() - start < 5.0
        assert json.loads(await query(b'{"ask":"status"}\n'))["name"] == "n0"
        assert (await sender.submit("m"))[0] == 202
        await sender.end()  # the socket file remains
        await sender.start()
        assert json.loads(await query(b'{"ask":"status","lines":1}\n'))["state"] == "ready"

    run_scenario(tmp_path, scenario, start=False)
