"""Both sides of an upgrade in a running process: taking over from the previous one, handing over to the next one."""

import asyncio
import os

from ..log import events, log_event, log_internal_error
from ..relay import learned_state
from ..spool.handover_log import HandoverLogWriter
from . import upgrade
from .resource_limits import apply_limits
from .sender_parts import SenderParts

RETRY_SECONDS = 1.0  # after an error of the state folder
ACCEPT_QUEUE_SECONDS = 0.1  # the listener stays open to accept connections queued before the hand-over
DRAIN_POLL_SECONDS = 0.05


async def wait_for_next_process(application: SenderParts) -> None:
    """Wait until the previous process, if any, has ended, and then until the next one claims the folder.

    An error of the folder is neither a claim nor a reason to end the process: the wait is retried.
    """
    while True:
        try:
            await _consume_reports_of_previous_process(application)
            return await upgrade.wait_until_claimed(application.folder)
        except Exception:
            log_internal_error("upgrade")
            await asyncio.sleep(RETRY_SECONDS)


async def _consume_reports_of_previous_process(application: SenderParts) -> None:
    """Apply the reports of the previous process until it has ended and this process holds the folder's lock."""
    relay, reader, claim = application.relay, application.handover_reader, application.claim
    descriptors = reader.descriptors
    while application.folder_lock is None:
        relay.consume_handover_log()
        if reader.descriptors != descriptors:
            descriptors = reader.descriptors
            apply_limits(application)
        application.folder_lock = claim.try_lock_folder()
        if application.folder_lock:
            log_event(events.TAKEOVER_FINISHED, messages=relay.attempts_at_previous_process)
            relay.consume_handover_log(is_writer_gone=True)
            claim.drop()
            reader.descriptors = 0
            apply_limits(application)
        await asyncio.sleep(upgrade.TAKEOVER_POLL_SECONDS)


async def hand_over(application: SenderParts) -> bool:
    """Hand journal and decisions over to the next process, then drain.

    The hand-over itself takes place within one event loop iteration. Afterwards this process finishes its calls in
    flight, and accepts messages on its open connections on behalf of the next process. Return False, with nothing
    changed, if writing to the folder fails.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + application.configuration.deployment.stop.end_ms / 1000.0
    handover_log = _write_handed_over_state(application)
    if handover_log is None:
        await asyncio.sleep(RETRY_SECONDS)
        return False
    _stop_deciding(application, handover_log)
    server = application.server
    server.drain()
    try:
        async with asyncio.timeout_at(deadline):
            await upgrade.wait_until_taken_over(application.folder)
            await asyncio.sleep(ACCEPT_QUEUE_SECONDS)
    except TimeoutError:
        pass
    server.stop_listening()
    while loop.time() < deadline and (application.relay.attempts_in_flight or server.clients):
        handover_log.report_descriptors(count_descriptors())
        await asyncio.sleep(DRAIN_POLL_SECONDS)
    return True


def _write_handed_over_state(application: SenderParts) -> HandoverLogWriter | None:
    """Write the state for the next process; return the hand-over log, or None if writing to the folder fails."""
    handover_log = None
    try:
        application.journal.mark_handover_consumed(0)
        handover_log = HandoverLogWriter(application.folder, application.journal)
        state = learned_state.export_learned_state(application.relay.facade) | {
            "out": list(handover_log.pending),
            "descriptors": count_descriptors() - application.pool.idle_count,
        }
        upgrade.hand_over_folder(application.folder, state)
    except OSError:
        log_internal_error("upgrade")
        if handover_log:
            handover_log.close()
            application.handover_reader.close()  # also removes the file, so that no other process reads it
        return None
    return handover_log


def _stop_deciding(application: SenderParts, handover_log: HandoverLogWriter) -> None:
    """Stop using the journal, endpoint list, notices and idle connections, which now belong to the next process."""
    application.relay.hand_over(handover_log)
    application.endpoint_cache.stop_writing()
    application.journal.close()
    name = application.configuration.deployment.sender.name
    log_event(events.HANDED_OVER, name=name, messages=len(application.journal.pending))
    application.notices.stop()
    application.pool.max_idle = 0
    application.pool.close()


def count_descriptors() -> int:
    """Return the number of open descriptors of this process."""
    return len(os.listdir("/proc/self/fd"))
