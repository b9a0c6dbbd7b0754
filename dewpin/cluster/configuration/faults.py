"""The errors of a rejected configuration: every fault of it at once."""

from collections.abc import Iterable

from ..checking import Fault


class ConfigurationFault(ValueError):
    """One fault of a configuration; `place` names the field, `message` says what is wrong with it."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.place = fault.place
        self.message = fault.message


class ConfigurationInvalid(ExceptionGroup[ConfigurationFault]):
    """Every fault of a rejected configuration."""

    def __new__(cls, faults: Iterable[Fault]) -> "ConfigurationInvalid":
        """Group the faults; there has to be at least one."""
        return super().__new__(cls, "invalid configuration", [ConfigurationFault(fault) for fault in faults])

    def lines(self) -> list[str]:
        """Return one line per fault, each with its place."""
        return [str(fault) for fault in self.exceptions]
