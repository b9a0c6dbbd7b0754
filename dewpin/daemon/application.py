"""One running sender: its parts, and the order of its start, service and shutdown.

The sender is ready only once the journal is replayed. Signals are handled in `SenderApplication.run`: SIGTERM and
SIGINT stop the process gracefully, SIGHUP reloads the configuration, and another process that claims the state folder
takes over from this one (`handover`).
"""

import asyncio
import gc
import signal
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from .. import __version__, log
from ..config.loading import Configuration
from ..config.values import parse_address
from ..console.server import ConsoleServer
from ..log import events, log_event
from ..net.connection_pool import ConnectionPool
from ..net.endpoint_list import parse_endpoints
from ..net.endpoint_watch import EndpointWatch
from ..net.notice_publisher import AgentNoticePublisher
from ..net.server import HttpServer
from ..net.watch_schedule import WatchSchedule
from ..ports import EndpointEntry, Frontend, MessageIntake, NoticePublisher, Transport
from ..relay import learned_state
from ..relay.facade import Facade
from ..relay.message_lifecycle import Relay
from ..spool.endpoint_cache import EndpointCache
from ..spool.handover_log import HandoverLogReader
from ..spool.journal import Journal
from .configuration_source import ConfigurationSource, dispatcher_seed
from .control_socket import ControlSocket
from .graceful_stop import stop_gracefully
from .handover import hand_over, wait_for_next_process
from .operator_actions import OperatorActions
from .reload import reload_at_signals
from .resource_limits import apply_limits
from .sender_parts import SenderParts
from .status import collect_status
from .upgrade import HandedOverState, TakeoverClaim

if TYPE_CHECKING:  # the parts put together here fit the protocols at which they meet
    _FITS: tuple[type[Frontend], type[MessageIntake], type[Transport], type[NoticePublisher]] = (
        HttpServer,
        Relay,
        ConnectionPool,
        AgentNoticePublisher,
    )

DEFAULT_CONNECT_TIMEOUT_MS = 1500.0


class SenderApplication(SenderParts):
    """One sender's process.

    `run` makes the parts in the order below, each once, and closes them. Parts may use each other from the end of the
    start on.
    """

    def __init__(self, configuration: Configuration, source: ConfigurationSource) -> None:
        super().__init__(configuration, source)
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Run the sender until it is stopped or has handed over to the next process.

        Raises OSError where the state folder or an address can't be used. The process ends then, and the system takes
        back what was opened.
        """
        self._handle_signals()
        await self._start()
        await self._serve()
        self._close()

    # -- start --------------------------------------------------------------------------------------------------------

    def _handle_signals(self) -> None:
        self.loop.set_exception_handler(_log_unhandled)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)  # an early one waits for the start

    async def _start(self) -> None:
        """Make and open all parts, from the console, which reports "not ready" meanwhile, to the control socket."""
        deployment = self.configuration.deployment
        self.operator_actions = OperatorActions()
        self.console = ConsoleServer(self.operator_actions)
        if deployment.console.address:
            await self.console.open(*parse_address(deployment.console.address))
        self._make_dispatching()
        self.claim = TakeoverClaim(self.folder)
        self.folder_lock, handed_over = await self.claim.enter()
        self._make_message_parts()
        if handed_over:
            self.handover_reader.descriptors = handed_over["descriptors"]
        apply_limits(self)
        self._apply_log_settings()
        self._load_endpoints(handed_over)
        self._resume_messages(handed_over)
        host, port = await self.server.open(*parse_address(deployment.sender.listen_address))
        self.operator_actions.serve(self.relay, self.pool)
        if handed_over:
            self.server.steer_connections_here()
            self.claim.mark_ready()
        self.control_socket = ControlSocket(lambda lines: collect_status(self, lines, lambda: asyncio.sleep(0)))
        await self._move_control_socket()
        # Frozen objects are not scanned by full collections, which are then cheap and soon due: closed transports are
        # reference cycles that only these free.
        gc.collect()
        gc.freeze()
        log_event(
            events.SENDER_STARTED,
            name=deployment.sender.name,
            at=f"{host}:{port}",
            messages=len(self.journal.pending),
            version=__version__,
        )

    def _make_dispatching(self) -> None:
        allowed = self.configuration.module["Allowed"]
        connect_timeout_ms = allowed.get("ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MS)
        self.pool = ConnectionPool(self.loop, connect_timeout_ms, allowed.get("IdleClose", 0.0))
        self.facade = Facade(self.configuration.module, dispatcher_seed(self.configuration.deployment.sender))

    def _make_message_parts(self) -> None:
        deployment = self.configuration.deployment
        self.journal = Journal(self.folder, deployment.limits.disk_bytes)
        self.handover_reader = HandoverLogReader(self.folder, self.journal)
        self.notices = AgentNoticePublisher(parse_address(deployment.agent.address))
        self.relay = Relay(self.loop, self.facade, self.journal, self.pool, self.notices)
        self.server = HttpServer(self.loop, self.relay)
        self.started_ms = self.relay.clock.now_ms()

    def _load_endpoints(self, handed_over: HandedOverState | None) -> None:
        """Load the list of receivers from the best source there is, and watch the agent for updates.

        The previous process's list is the latest. Else the cached list counts if the agent counted it later than the
        platform's file, which may be a day old. Receivers that another agent reported as draining or gone stay so.
        """
        configuration = self.configuration
        deployment = configuration.deployment
        for receiver_id in self.journal.detached_receivers:
            self.facade.endpoints.detach(receiver_id)
        schedule = WatchSchedule(
            configuration.module["FleetSize"],
            configuration.module["Rules"]["DrainGrace"],
            dispatcher_seed(deployment.sender),
            configuration.module.get("RegistryMode") != "on_request",
        )
        cache = self.endpoint_cache = EndpointCache(self.folder, deployment.agent.address, deployment.limits.disk_bytes)
        is_first_process = cache.revision is None and not handed_over
        known_revision = configuration.known.get("revision", 0)
        if handed_over:
            revision = None
            self._learn_endpoints(learned_state.endpoint_entries(handed_over), True)
        elif cache.is_newer_than(known_revision):
            revision = cache.revision
            self._learn_endpoints(cache.entries(), True)
        else:
            revision, ended = known_revision, cache.unavailable_at_other_agent()
            self._learn_endpoints(parse_endpoints(configuration.known.get("members", ())), True, revision)
            self._learn_endpoints(ended, False)
        agent_address = parse_address(deployment.agent.address)
        self.watch = EndpointWatch(agent_address, revision, self._learn_endpoints, schedule, is_first_process)

    def _learn_endpoints(
        self, entries: Sequence[EndpointEntry], is_complete: bool, revision: int | None = None
    ) -> None:
        """Put an update of the list of receivers in force; with a `revision` it is cached on disk as well."""
        for address in self.facade.endpoints.update(entries, is_complete):
            self.pool.cancel_unsent(address)
            self.pool.close_idle(address)
        if revision is not None:
            self.endpoint_cache.update(entries, is_complete, revision, self.relay.clock.now_ms())
        self.relay.wake()

    def _resume_messages(self, handed_over: HandedOverState | None) -> None:
        """Take up the journal's messages, before the server opens: earlier messages come first in their key's order."""
        if handed_over:
            self.relay.resume(self.handover_reader, set(handed_over["out"]))
            learned_state.import_learned_state(self.facade, handed_over)
            name = self.configuration.deployment.sender.name
            log_event(events.TAKEN_OVER, name=name, messages=len(self.journal.pending))
        else:
            self.relay.resume(self.handover_reader if self.handover_reader.exists() else None, None)
            # A hand-over log that exists was left by an upgrade during which both processes were killed.
            self.relay.consume_handover_log(is_writer_gone=True)
            self.claim.drop()

    # -- service ------------------------------------------------------------------------------------------------------

    async def _serve(self) -> None:
        """Serve until a stop is requested or the next process has taken over, then drain."""
        reloading = self.loop.create_task(reload_at_signals(self, self.reload_requested, self.apply))
        claimed = self.loop.create_task(wait_for_next_process(self))
        stopping = self.loop.create_task(self.stop_requested.wait())
        is_handed_over = False
        while not (is_handed_over or stopping.done()):
            await asyncio.wait((stopping, claimed), return_when=asyncio.FIRST_COMPLETED)
            if not stopping.done():
                is_handed_over = await hand_over(self)
                claimed = self.loop.create_task(wait_for_next_process(self))
        claimed.cancel()
        reloading.cancel()
        if not is_handed_over:
            await stop_gracefully(self.relay, self.server, self.notices, self.configuration.deployment)
        stopping.cancel()

    async def apply(self, configuration: Configuration) -> None:
        """Put a reloaded configuration in force; keys that wait for the next start must be as before."""
        deployment = configuration.deployment
        self.configuration = configuration
        apply_limits(self)
        self._apply_log_settings()
        agent_address = parse_address(deployment.agent.address)
        self.endpoint_cache.reconfigure(deployment.agent.address, deployment.limits.disk_bytes)
        self.watch.move(agent_address)
        self.notices.move(agent_address)
        await self._move_control_socket()

    def _apply_log_settings(self) -> None:
        """Put `[log]` in force, and log what the configuration allows but most likely does not mean."""
        settings = self.configuration.deployment.log
        log.configure(
            settings.log_format,
            settings.level,
            settings.max_lines_per_second,
            settings.max_debug_lines_per_second,
            settings.max_held_bytes,
        )
        for warning in self.configuration.warnings:
            log_event(events.CONFIGURATION_WARNING, why=warning)

    async def _move_control_socket(self) -> None:
        settings = self.configuration.deployment.control
        await self.control_socket.move(settings.socket_path, settings.token, settings.listed_destinations)

    # -- shutdown -----------------------------------------------------------------------------------------------------

    def _close(self) -> None:
        """Close all parts: first what brings in work, then what does it, last what records it."""
        self.watch.stop()
        self.notices.stop()
        self.control_socket.close()
        self.console.close()
        self.server.close()
        self.pool.close()
        record_store = self.relay.record_store  # the journal; after a hand-over the log for the next process
        name = self.configuration.deployment.sender.name
        log_event(events.SENDER_ENDED, name=name, messages=len(record_store.pending))
        record_store.close()
        if self.folder_lock:
            self.folder_lock.release()
        log.report_losses()


def _log_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log_event(events.INTERNAL_ERROR, component="loop", why=f"{context['message']}: {context.get('exception')!r}")
