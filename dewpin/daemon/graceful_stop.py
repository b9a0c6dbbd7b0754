"""Graceful shutdown after SIGTERM or SIGINT."""

import asyncio
from typing import TYPE_CHECKING

from ..log import events, log_event

if TYPE_CHECKING:
    from ..config.sections import Deployment
    from ..net.agent import Notices
    from ..net.inbound import Door
    from ..relay.course import Relay

CHECK_SECONDS = 0.02


async def stop_gracefully(relay: "Relay", server: "Door", notices: "Notices", deployment: "Deployment") -> None:
    """Reject new messages and finish what is in flight, within the times of `[stop]`; the rest stays in the journal."""
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    stop = deployment.stop
    relay.refusing = True
    server.stop()
    log_event(events.SENDER_STOPPING, name=deployment.sender.name)
    while loop.time() < stopped_at + stop.end_ms / 1000.0:
        relay.sending = loop.time() < stopped_at + stop.start_attempts_ms / 1000.0
        if not (relay.sending or relay.out or notices.owed or server.clients or server.queued()):
            break
        await asyncio.sleep(CHECK_SECONDS)
