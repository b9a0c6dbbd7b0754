"""Reading a configuration that is still being written, with a writer that pauses at the worst moments."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from dewpin.config.documentation import example_file
from dewpin.config.errors import ConfigurationError
from dewpin.daemon import configuration_source
from dewpin.daemon.configuration_source import STABLE_READ_ATTEMPTS, ConfigurationSource
from driver import Sender

COMPLETE = example_file().replace("rate = 5", "rate = 50")
CUT = COMPLETE[: COMPLETE.index("[log]")]
"""A valid file by itself, but not to its end."""
PLATFORM = SimpleNamespace(
    agent=SimpleNamespace(sockets=[SimpleNamespace(getsockname=lambda: ("127.0.0.1", 1))]), members=[]
)


class PausingWriter:
    """Stands for `asyncio` in the reader: each sleep is a step of the writer, none of them takes time."""

    def __init__(self, file, contents):
        self.file, self.contents, self.sleeps = file, list(contents), 0
        self._write_next()

    async def sleep(self, _):
        self.sleeps += 1
        self._write_next()

    def _write_next(self):
        if self.contents:
            self.file.write_text(self.contents.pop(0))


def read(tmp_path, monkeypatch, contents, must_end=True):
    platform_file = tmp_path / "config.json"
    platform_file.write_text(json.dumps(Sender(PLATFORM, tmp_path).told | {"state": str(tmp_path)}))
    file = tmp_path / "dewpin.toml"
    writer = PausingWriter(file, contents)
    monkeypatch.setattr(configuration_source, "asyncio", writer)
    source = ConfigurationSource({}, [f"platform.file={platform_file}"], str(file))
    return writer, lambda: asyncio.run(source.read_stable(must_end))


@pytest.mark.parametrize("pause", [1, 2, 5, STABLE_READ_ATTEMPTS - 2])
@pytest.mark.parametrize("part", [CUT, CUT + 'rate = "x', "", "[end", COMPLETE[:100]], ids=range(5))
def test_file_whose_writer_pauses_is_taken_complete(tmp_path, monkeypatch, pause, part):
    _, read_stable = read(tmp_path, monkeypatch, [part] * pause + [COMPLETE])
    assert read_stable().has_end


def test_file_that_never_ends_is_rejected_as_half_written(tmp_path, monkeypatch):
    writer, read_stable = read(tmp_path, monkeypatch, [CUT])
    with pytest.raises(ConfigurationError, match="it is considered incomplete"):
        read_stable()
    assert writer.sleeps == STABLE_READ_ATTEMPTS


def test_file_that_keeps_changing_is_rejected(tmp_path, monkeypatch):
    versions = [COMPLETE.replace("rate = 50", f"rate = {rate}") for rate in range(10, 60)]
    _, read_stable = read(tmp_path, monkeypatch, versions)
    with pytest.raises(ConfigurationError, match="still changes"):
        read_stable()


def test_complete_file_with_a_fault_is_rejected_at_once(tmp_path, monkeypatch):
    writer, read_stable = read(tmp_path, monkeypatch, [COMPLETE.replace("sockets = 1024", "sokets = 3")])
    with pytest.raises(ConfigurationError, match="did you mean limits.sockets"):
        read_stable()
    assert writer.sleeps == 1


def test_file_without_end_is_taken_where_none_is_expected(tmp_path, monkeypatch):
    writer, read_stable = read(tmp_path, monkeypatch, [CUT], must_end=False)
    assert not read_stable().has_end and writer.sleeps == 1
