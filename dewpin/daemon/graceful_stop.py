"""Graceful shutdown after SIGTERM or SIGINT."""

import asyncio
from typing import TYPE_CHECKING

from ..log import events, log_event

if TYPE_CHECKING:
    from ..config.sections import Deployment
    from ..net.notice_publisher import AgentNoticePublisher
    from ..net.server import HttpServer
    from ..relay.message_lifecycle import Relay

POLL_SECONDS = 0.02


async def stop_gracefully(
    relay: "Relay", server: "HttpServer", notices: "AgentNoticePublisher", deployment: "Deployment"
) -> None:
    """Reject new messages and finish attempts in flight within the times of `[stop]`; the rest stays in the journal."""
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    stop = deployment.stop
    relay.is_draining = True
    server.stop()
    log_event(events.SENDER_STOPPING, name=deployment.sender.name)
    while loop.time() < stopped_at + stop.end_ms / 1000.0:
        relay.may_start_attempts = loop.time() < stopped_at + stop.start_attempts_ms / 1000.0
        is_relay_busy = relay.may_start_attempts or relay.attempts_in_flight
        if not (is_relay_busy or notices.unacknowledged or server.clients or server.has_queued_connections()):
            break
        await asyncio.sleep(POLL_SECONDS)
