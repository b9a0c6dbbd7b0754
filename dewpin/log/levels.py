"""Log levels."""

from enum import IntEnum


class Level(IntEnum):
    """Severity of an event; the values equal those of the standard library's logging module."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40

    @property
    def label(self) -> str:
        """The level's name in the log and in `log.level`."""
        return self.name.lower()


LEVELS_BY_LABEL = {level.label: level for level in Level}
