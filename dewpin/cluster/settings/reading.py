"""Loading of the settings file named by the environment; all faults are reported at once."""

import os
import sys
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import NoReturn, cast

from ..validation import Fault, InvalidInputError, JsonObject, check_shape
from .building import build_settings
from .model import Settings
from .rules import check_rules
from .schema import RawSettings

BOOT_VARIABLE = "DEWPIN_BOOT"
INVALID_SETTINGS_EXIT_CODE = 2
READ_AGAIN_S = 1.0
"""How long an invalid file is read again at the start: it may be in the middle of being written."""
READ_AGAIN_DELAY_S = 0.1


class InvalidSettingsError(InvalidInputError):
    """A settings file is invalid; contains every fault."""

    summary = "invalid settings"


def load_settings(path: str | Path) -> Settings:
    """Load and validate a settings file. Raises InvalidSettingsError with every fault, or if the file is unreadable."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidSettingsError([Fault("", f"cannot read {path}: {error.strerror}")]) from None
    except ValueError as error:
        raise InvalidSettingsError([Fault("", f"cannot read {path}: {error}")]) from None
    return parse_settings(raw)


def parse_settings(raw: JsonObject) -> Settings:
    """Validate the content of a settings file. Raises InvalidSettingsError with every fault."""
    faults = check_shape(raw, RawSettings)
    faults += check_rules(raw, faults)
    if faults:
        raise InvalidSettingsError(faults)
    return build_settings(cast(RawSettings, raw))


def settings_or_exit(environment: Mapping[str, str] = os.environ, read_again_s: float = READ_AGAIN_S) -> Settings:
    """Load the settings file named by the environment; if invalid, print one line per fault and exit with code 2.

    An invalid file is read again for `read_again_s`.
    """
    path = environment.get(BOOT_VARIABLE)
    if not path:
        _exit_with([f"{BOOT_VARIABLE}: expected the path of a settings file, got nothing"])
    give_up_s = time.monotonic() + read_again_s
    while True:
        try:
            return load_settings(path)
        except InvalidSettingsError as invalid:
            if time.monotonic() >= give_up_s:
                _exit_with([f"{path}: {line}" for line in invalid.lines()])
        time.sleep(READ_AGAIN_DELAY_S)


def _exit_with(lines: list[str]) -> NoReturn:
    print("\n".join(lines), file=sys.stderr)
    raise SystemExit(INVALID_SETTINGS_EXIT_CODE)
