"""The settings file of a process: where it runs, what it serves and what it has to keep to.

The file is TOML and its path is in the environment variable `DEWPIN_BOOT`. `load_settings` reads and checks it whole
and reports every fault at once, each with its key and what was expected there; unknown keys are ignored. A process
that cannot use its settings ends with exit code 2 and one line per fault (`settings_or_exit`). Durations are in
milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.

`schema` has the fields as the file writes them, `rules` the checks between fields, `model` the checked settings,
`building` makes these with their defaults, `reading` does it all in order.
"""

from .model import CONTROL, FRONT, READY, STORE, Bounds, Cloud, FaultTolerance, MachineLimits, PortRange, Settings
from .reading import (
    BOOT_VARIABLE,
    FAULTY_SETTINGS_EXIT_CODE,
    InvalidSettingsError,
    load_settings,
    parse_settings,
    settings_or_exit,
)

__all__ = [
    "BOOT_VARIABLE",
    "CONTROL",
    "FAULTY_SETTINGS_EXIT_CODE",
    "FRONT",
    "READY",
    "STORE",
    "Bounds",
    "Cloud",
    "FaultTolerance",
    "MachineLimits",
    "PortRange",
    "Settings",
    "InvalidSettingsError",
    "load_settings",
    "parse_settings",
    "settings_or_exit",
]
