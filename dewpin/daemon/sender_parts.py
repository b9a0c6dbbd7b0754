"""The parts of one sender's process, as the modules see them that work on several of them."""

from ..config.loading import Configuration
from ..console.server import ConsoleServer
from ..net.connection_pool import ConnectionPool
from ..net.endpoint_watch import EndpointWatch
from ..net.notice_publisher import AgentNoticePublisher
from ..net.server import HttpServer
from ..relay.facade import Facade
from ..relay.message_lifecycle import Relay
from ..spool.endpoint_cache import EndpointCache
from ..spool.folder_lock import FolderLock
from ..spool.handover_log import HandoverLogReader
from ..spool.journal import Journal
from .configuration_source import ConfigurationSource
from .control_socket import ControlSocket
from .operator_actions import OperatorActions
from .upgrade import TakeoverClaim


class SenderParts:
    """All parts of one sender's process; `SenderApplication` makes them, each once.

    Attributes:
        configuration: what is in force; a reload replaces it whole.
        source: where the configuration is read from.
        folder: the state folder.
        console: the server for operators' calls, and `operator_actions` that answers them.
        pool: connections to receivers.
        facade: the decision module.
        claim: this process's claim on a folder that a previous process still holds.
        folder_lock: the lock of the state folder; None while the previous process has it.
        journal: messages on disk.
        handover_reader: reads what the previous process reports during an upgrade.
        notices: notices to the platform's agent of messages that were given up.
        relay: the life of messages.
        server: the HTTP server for clients.
        started_ms: Unix time of the start.
        endpoint_cache: the list of receivers on disk.
        watch: the watch on the agent's list of receivers.
        control_socket: answers `dewpin status`.
    """

    operator_actions: OperatorActions
    console: ConsoleServer
    pool: ConnectionPool
    facade: Facade
    claim: TakeoverClaim
    folder_lock: FolderLock | None
    journal: Journal
    handover_reader: HandoverLogReader
    notices: AgentNoticePublisher
    relay: Relay
    server: HttpServer
    started_ms: float
    endpoint_cache: EndpointCache
    watch: EndpointWatch
    control_socket: ControlSocket

    def __init__(self, configuration: Configuration, source: ConfigurationSource) -> None:
        """Start without the parts that a start makes."""
        self.configuration = configuration
        self.source = source
        self.folder = configuration.deployment.sender.state_folder
