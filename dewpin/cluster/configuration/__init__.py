"""The operator's configuration: routes, services and limits.

`parse_configuration` reads a request body and checks it whole; it reports every fault at once. What is rejected is
only what makes a configuration impossible to follow: a body that cannot be read, a route without a known service, two
routes at one host and prefix, weights that add up to nothing, a time-out of zero. Absent optional fields get defaults
and unknown fields are kept in `Configuration.raw`. Whether a generation may follow the current one is decided by the
register, not here. Times are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.

`schema` has the fields as the operator writes them, `rules` the checks between fields, `model` the checked
configuration, `building` makes it with its defaults, `reading` does it all in order; `patch` changes single items.
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
