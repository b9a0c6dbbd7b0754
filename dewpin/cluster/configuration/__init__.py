"""The operator's configuration: routes, services and limits.

`parse_configuration` parses and validates a request body and reports all faults at once. It rejects only
configurations that cannot be applied: an unreadable body, a route without a known service, two routes with the same
host and prefix, weights that sum to zero, a time-out of zero. Absent optional fields get defaults, and unknown fields
are kept in `Configuration.raw`. Whether a generation may replace the current one is decided by the register, not here.
Times are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.

`schema` has the fields of the input, `rules` the validation across fields, `model` the validated configuration,
`building` its construction with defaults and `reading` the whole sequence; `patch` changes single items.
"""

from .building import (
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
)
from .model import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    Configuration,
    Engine,
    Limits,
    Route,
    Service,
    Share,
    normal_host,
)
from .patch import ConfigurationPatch, parse_patch
from .reading import InvalidConfigurationError, longest_retain_s, parse_configuration

__all__ = [
    "DEFAULT_HEADER_TIMEOUT_MS",
    "DEFAULT_IDLE_TIMEOUT_MS",
    "DEFAULT_MAX_BODY_BYTES",
    "DEFAULT_MAX_HEADER_BYTES",
    "IDEMPOTENT",
    "NON_IDEMPOTENT",
    "STREAM",
    "Configuration",
    "InvalidConfigurationError",
    "ConfigurationPatch",
    "Engine",
    "Limits",
    "Route",
    "Service",
    "Share",
    "longest_retain_s",
    "normal_host",
    "parse_configuration",
    "parse_patch",
]
