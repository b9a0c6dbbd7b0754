"""Reloading of the settings file of a running process, by polling its content."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from .logs import Event, log_event
from .settings import InvalidSettingsError, Settings, load_settings

POLL_PERIOD_S = 2.0


def reloaded(running: Settings, changed: Settings) -> Settings:
    """Return the `running` settings with the reloadable ones taken from `changed`.

    Reloadable without a restart are the seeds, the address and limits of the platform's list, and the zones. Addresses,
    folders, limits and bounds take effect only at process start.
    """
    return replace(running, seeds=changed.seeds, cloud=changed.cloud, zones=changed.zones)


class SettingsWatch:
    """Detects changes to a settings file.

    An invalid file is logged once and its content is ignored.
    """

    def __init__(self, path: str | Path, running: Settings) -> None:
        """Watch the file at `path`; `running` are the current settings of the process."""
        self._path = Path(path)
        self._running = running
        self._last_content: bytes | None = None

    def poll(self) -> Settings | None:
        """Return the validated settings of the file if they changed since the last call, else None."""
        content = self._content()
        if content is None or content == self._last_content:
            return None
        self._last_content = content
        try:
            settings = load_settings(self._path)
        except InvalidSettingsError as error:
            log_event(Event.SETTINGS_REJECTED, faults=error.lines())
            return None
        if settings == self._running:
            return None
        self._running = settings
        log_event(Event.SETTINGS_RELOADED)
        return settings

    def _content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            return None
