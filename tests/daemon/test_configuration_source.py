"""Reading a configuration file while it is being written, with a writer that pauses in between."""

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
TRUNCATED = COMPLETE[: COMPLETE.index("[log]")]
"""A file that is valid but incomplete."""
PLATFORM = SimpleNamespace(
    agent=SimpleNamespace(sockets=[SimpleNamespace(getsockname=lambda: ("127.0.0.1", 1))]), members=[]
)


class PausingWriter:
    """Replaces `asyncio` in the reader: each sleep returns at once and performs the writer's next step."""

    def __init__(self, file, contents):
        self.file, self.contents, self.sleeps = file, list(contents), 0
        self._write_next()

    async def sleep(self, _):
        self.sleeps += 1
        self._write_next()

    def _write_next(self):
        if self.contents:
            self.file.write_text(self.contents.pop(0))


def prepare_read(tmp_path, monkeypatch, contents, must_end=True):
    platform_file = tmp_path / "config.json"
    platform_file.write_text(json.dumps(Sender(PLATFORM, tmp_path).config | {"state": str(tmp_path)}))
    file = tmp_path / "dewpin.toml"
    writer = PausingWriter(file, contents)
    monkeypatch.setattr(configuration_source, "asyncio", writer)
    source = ConfigurationSource({}, [f"platform.file={platform_file}"], str(file))
    return writer, lambda: asyncio.run(source.read_stable(must_end))


@pytest.mark.parametrize("pause", [1, 2, 5, STABLE_READ_ATTEMPTS - 2])
@pytest.mark.parametrize("part", [TRUNCATED, TRUNCATED + 'rate = "x', "", "[end", COMPLETE[:100]], ids=range(5))
def test_file_whose_writer_pauses_is_read_completely(tmp_path, monkeypatch, pause, part):
    _, read_stable = prepare_read(tmp_path, monkeypatch, [part] * pause + [COMPLETE])
    assert read_stable().has_end


def test_file_without_end_table_is_rejected_as_half_written(tmp_path, monkeypatch):
    writer, read_stable = prepare_read(tmp_path, monkeypatch, [TRUNCATED])
    with pytest.raises(ConfigurationError, match="it is considered incomplete"):
        read_stable()
    assert writer.sleeps == STABLE_READ_ATTEMPTS


def test_file_that_keeps_changing_is_rejected(tmp_path, monkeypatch):
    versions = [COMPLETE.replace("rate = 50", f"rate = {rate}") for rate in range(10, 60)]
    _, read_stable = prepare_read(tmp_path, monkeypatch, versions)
    with pytest.raises(ConfigurationError, match="still changes"):
        read_stable()


def test_complete_file_with_an_error_is_rejected_at_once(tmp_path, monkeypatch):
    writer, read_stable = prepare_read(tmp_path, monkeypatch, [COMPLETE.replace("sockets = 1024", "sokets = 3")])
    with pytest.raises(ConfigurationError, match="did you mean limits.sockets"):
        read_stable()
    assert writer.sleeps == 1


def test_file_without_end_table_is_accepted_if_none_is_required(tmp_path, monkeypatch):
    writer, read_stable = prepare_read(tmp_path, monkeypatch, [TRUNCATED], must_end=False)
    assert not read_stable().has_end and writer.sleeps == 1
