"""Reload at SIGHUP: the configuration is read anew, checked whole, and swapped in one turn of the loop."""

import asyncio
from typing import TYPE_CHECKING

from ..config import faults, layers
from ..log import events, log_event, log_internal_error

if TYPE_CHECKING:
    from .application import SenderApplication


async def reload_at_signals(application: "SenderApplication", requested: asyncio.Event) -> None:
    """Reload whenever `requested` is set, until cancelled. An invalid configuration changes nothing."""
    while await requested.wait():
        requested.clear()
        running = application.configuration
        try:
            new = await application.source.read_stable(running.ended)
        except faults.Faulty as error:
            for fault in error.faults:
                log_event(events.CONFIGURATION_REJECTED, why=fault)
            continue
        except Exception:  # whatever a file may hold, the old configuration stays in force
            log_internal_error("reload")
            continue
        if application.relay.tail:  # meanwhile the folder was handed over, and so were watch and notices
            continue
        pending_keys = keys_pending_restart(running, new)
        keep_running_values(running, new, pending_keys)
        await application.apply(new)
        address = new.deployment.agent.address
        log_event(events.CONFIGURATION_RELOADED, at=address, pending=", ".join(pending_keys), keys=len(pending_keys))


def keys_pending_restart(running: layers.Reading, new: layers.Reading) -> list[str]:
    """Return the keys that differ and take effect only at the next start, with `settings` for the platform's own."""
    from ..config.keys import KEYS

    changed = []
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        running_value = getattr(getattr(running.deployment, section), name)
        new_value = getattr(getattr(new.deployment, section), name)
        if not key.swaps and running_value != new_value:
            changed.append(key.path)
    return changed + (["settings"] if running.module != new.module else [])


def keep_running_values(running: layers.Reading, new: layers.Reading, pending_keys: list[str]) -> None:
    """Set the keys that wait for the next start back to the values in force."""
    new.module = running.module
    for path in pending_keys:
        section, _, name = path.partition(".")
        if name:
            value = getattr(getattr(running.deployment, section), name)
            setattr(getattr(new.deployment, section), name, value)
