"""Reload at SIGHUP: the configuration is read and validated as a whole, then replaced in one event loop iteration."""

import asyncio
from collections.abc import Awaitable, Callable

from ..config.errors import ConfigurationError
from ..config.keys import KEYS
from ..config.loading import Configuration
from ..log import events, log_event, log_internal_error
from .sender_parts import SenderParts

MODULE_SETTINGS = "settings"  # reported for the platform's settings of the dispatcher, which have no key


async def reload_at_signals(
    application: SenderParts, requested: asyncio.Event, apply: Callable[[Configuration], Awaitable[None]]
) -> None:
    """Reload whenever `requested` is set, until cancelled; `apply` puts a configuration in force.

    An invalid configuration is logged and ignored.
    """
    while await requested.wait():
        requested.clear()
        running = application.configuration
        try:
            new = await application.source.read_stable(running.has_end)
        except ConfigurationError as error:
            for issue in error.issues:
                log_event(events.CONFIGURATION_REJECTED, why=issue)
            continue
        except Exception:  # no file content may end the task: the old configuration stays in force
            log_internal_error("reload")
            continue
        if application.relay.handover_log:  # the folder, the watch and the notices were handed over meanwhile
            continue
        pending_keys = keys_pending_restart(running, new)
        keep_running_values(running, new, pending_keys)
        await apply(new)
        address = new.deployment.agent.address
        log_event(events.CONFIGURATION_RELOADED, at=address, pending=", ".join(pending_keys), keys=len(pending_keys))


def keys_pending_restart(running: Configuration, new: Configuration) -> list[str]:
    """Return the changed keys that take effect only at the next start; "settings" for the platform's settings."""
    changed = [
        key.path
        for key in KEYS.values()
        if not key.applies_at_reload and key.get(running.deployment) != key.get(new.deployment)
    ]
    return changed + ([MODULE_SETTINGS] if running.module != new.module else [])


def keep_running_values(running: Configuration, new: Configuration, pending_keys: list[str]) -> None:
    """Reset the keys that take effect at the next start to the values in force."""
    new.module = running.module
    for path in pending_keys:
        if path != MODULE_SETTINGS:
            key = KEYS[path]
            key.set(new.deployment, key.get(running.deployment))
