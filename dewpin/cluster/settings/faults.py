"""The errors of a settings file: every fault of it at once."""

from collections.abc import Iterable

from ..checking import Fault


class SettingsFault(ValueError):
    """One fault of a settings file; `key` names the field, `message` says what is wrong with it."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.key = fault.place
        self.message = fault.message


class SettingsInvalid(ExceptionGroup[SettingsFault]):
    """Every fault of a settings file."""

    def __new__(cls, faults: Iterable[Fault]) -> "SettingsInvalid":
        """Group the faults; there has to be at least one."""
        return super().__new__(cls, "invalid settings", [SettingsFault(fault) for fault in faults])

    def lines(self) -> list[str]:
        """Return one line per fault, each with its key."""
        return [str(fault) for fault in self.exceptions]
