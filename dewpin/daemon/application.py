"""The running sender: its components, and the order of start, service and shutdown.

The sender is ready once the journal has been replayed. `SenderApplication.run` handles signals: SIGTERM and SIGINT stop
the process gracefully, SIGHUP reloads the configuration. Another process that claims the state folder takes over from
this one (`handover`).
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
from .start_signals import was_reload_requested
from .status import collect_status
from .upgrade import HandedOverState, TakeoverClaim

if TYPE_CHECKING:  # checks that the components implement their protocols
    _PROTOCOL_IMPLEMENTATIONS: tuple[type[Frontend], type[MessageIntake], type[Transport], type[NoticePublisher]] = (
        HttpServer,
        Relay,
        ConnectionPool,
        AgentNoticePublisher,
    )

DEFAULT_CONNECT_TIMEOUT_MS = 1500.0


class SenderApplication(SenderParts):
    """The process of one sender.

    `run` creates each component once, in the order below, and closes them. Components may use each other only after the
    start is complete.
    """

    def __init__(self, configuration: Configuration, source: ConfigurationSource) -> None:
        super().__init__(configuration, source)
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Run the sender until it is stopped or has handed over to the next process.

        Raises OSError if the state folder or an address can't be used. Nothing is closed in this case: the caller ends
        the process, which releases all resources.
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
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)  # takes effect after the start
        if was_reload_requested():
            self.reload_requested.set()

    async def _start(self) -> None:
        """Create and open all components: the console first, which reports "not ready", the control socket last."""
        deployment = self.configuration.deployment
        self.operator_actions = OperatorActions()
        self.console = ConsoleServer(self.operator_actions)
        if deployment.console.address:
            await self.console.open(*parse_address(deployment.console.address))
        self._create_dispatching()
        self.claim = TakeoverClaim(self.folder)
        self.folder_lock, handed_over = await self.claim.enter()
        self._create_message_components()
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
        # Full collections do not scan frozen objects, and are therefore cheap and frequent. They have to be, because
        # only a full collection frees the reference cycles of closed transports.
        gc.collect()
        gc.freeze()
        log_event(
            events.SENDER_STARTED,
            name=deployment.sender.name,
            at=f"{host}:{port}",
            messages=len(self.journal.pending),
            version=__version__,
        )

    def _create_dispatching(self) -> None:
        allowed = self.configuration.module["Allowed"]
        connect_timeout_ms = allowed.get("ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MS)
        self.pool = ConnectionPool(self.loop, connect_timeout_ms, allowed.get("IdleClose", 0.0))
        self.facade = Facade(self.configuration.module, dispatcher_seed(self.configuration.deployment.sender))

    def _create_message_components(self) -> None:
        deployment = self.configuration.deployment
        self.journal = Journal(self.folder, deployment.limits.disk_bytes)
        self.handover_reader = HandoverLogReader(self.folder, self.journal)
        self.notices = AgentNoticePublisher(parse_address(deployment.agent.address))
        self.relay = Relay(self.loop, self.facade, self.journal, self.pool, self.notices)
        self.server = HttpServer(self.loop, self.relay)
        self.started_ms = self.relay.clock.now_ms()

    def _load_endpoints(self, handed_over: HandedOverState | None) -> None:
        """Load the endpoint list from the most recent source, and watch the agent for updates.

        The list handed over by a previous process is the most recent one. Otherwise the cached list is used if its
        revision is newer than that of the platform's file, which may be a day old. Receivers that another agent has
        reported as draining or gone remain so.
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
        is_first_start = cache.revision is None and not handed_over
        known_revision = configuration.known.get("revision", 0)
        if handed_over:
            revision = None
            self._update_endpoints(learned_state.endpoint_entries(handed_over), True)
        elif cache.is_newer_than(known_revision):
            revision = cache.revision
            self._update_endpoints(cache.entries(), True)
        else:
            revision, unavailable_entries = known_revision, cache.unavailable_at_other_agent()
            self._update_endpoints(parse_endpoints(configuration.known.get("members", ())), True, revision)
            self._update_endpoints(unavailable_entries, False)
        agent_address = parse_address(deployment.agent.address)
        self.watch = EndpointWatch(agent_address, revision, self._update_endpoints, schedule, is_first_start)

    def _update_endpoints(
        self, entries: Sequence[EndpointEntry], is_complete: bool, revision: int | None = None
    ) -> None:
        """Apply an update of the endpoint list; with a `revision` it is also cached on disk."""
        for address in self.facade.endpoints.update(entries, is_complete):
            self.pool.cancel_unsent(address)
            self.pool.close_idle(address)
        if revision is not None:
            self.endpoint_cache.update(entries, is_complete, revision, self.relay.clock.now_ms())
        self.relay.wake()

    def _resume_messages(self, handed_over: HandedOverState | None) -> None:
        """Resume the messages in the journal before the server opens, so that they keep their order within a key."""
        if handed_over:
            self.relay.resume(self.handover_reader, set(handed_over["out"]))
            learned_state.import_learned_state(self.facade, handed_over)
            name = self.configuration.deployment.sender.name
            log_event(events.TAKEN_OVER, name=name, messages=len(self.journal.pending))
        else:
            self.relay.resume(self.handover_reader if self.handover_reader.exists() else None, None)
            # An existing hand-over log was left by an upgrade during which both processes were killed.
            self.relay.consume_handover_log(is_writer_gone=True)
            self.claim.drop()

    # -- service ------------------------------------------------------------------------------------------------------

    async def _serve(self) -> None:
        """Serve until a stop is requested or the next process has taken over, then drain."""
        reload_task = self.loop.create_task(reload_at_signals(self, self.reload_requested, self.apply))
        wait_for_claim = self.loop.create_task(wait_for_next_process(self))
        wait_for_stop = self.loop.create_task(self.stop_requested.wait())
        is_handed_over = False
        while not (is_handed_over or wait_for_stop.done()):
            await asyncio.wait((wait_for_stop, wait_for_claim), return_when=asyncio.FIRST_COMPLETED)
            if not wait_for_stop.done():
                is_handed_over = await hand_over(self)
                wait_for_claim = self.loop.create_task(wait_for_next_process(self))
        wait_for_claim.cancel()
        reload_task.cancel()
        if not is_handed_over:
            await stop_gracefully(self.relay, self.server, self.notices, self.configuration.deployment)
        wait_for_stop.cancel()

    async def apply(self, configuration: Configuration) -> None:
        """Apply a reloaded configuration, whose keys that take effect at the next start must be unchanged."""
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
        """Apply the `[log]` section, and log warnings about probably unintended settings."""
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
        """Close all components: the sources of work first, then those that process it, last the journal."""
        self.watch.stop()
        self.notices.stop()
        self.control_socket.close()
        self.console.close()
        self.server.close()
        self.pool.close()
        record_store = self.relay.record_store  # the journal, or the hand-over log after a hand-over
        name = self.configuration.deployment.sender.name
        log_event(events.SENDER_ENDED, name=name, messages=len(record_store.pending))
        record_store.close()
        if self.folder_lock:
            self.folder_lock.release()
        log.report_losses()


def _log_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log_event(events.INTERNAL_ERROR, component="loop", why=f"{context['message']}: {context.get('exception')!r}")
