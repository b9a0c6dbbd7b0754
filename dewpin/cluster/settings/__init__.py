"""The settings file of a process: its location, the services it runs and the limits it must observe.

The file is TOML and its path is in the environment variable `DEWPIN_BOOT`. `load_settings` parses and validates it and
reports all faults at once, each with its key and the expected value; unknown keys are ignored. A process with invalid
settings exits with code 2 after printing one line per fault (`settings_or_exit`). Durations are in milliseconds where a
name ends in `_ms`, in seconds where it ends in `_s`.

`schema` has the fields of the file, `rules` the validation across fields, `model` the validated settings, `building`
their construction with defaults and `reading` the whole sequence.
"""

from .model import CONTROL, FRONT, READY, STORE, Bounds, Cloud, FaultTolerance, MachineLimits, PortRange, Settings
from .reading import (
    BOOT_VARIABLE,
    INVALID_SETTINGS_EXIT_CODE,
    InvalidSettingsError,
    load_settings,
    parse_settings,
    settings_or_exit,
)

__all__ = [
    "BOOT_VARIABLE",
    "CONTROL",
    "INVALID_SETTINGS_EXIT_CODE",
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
