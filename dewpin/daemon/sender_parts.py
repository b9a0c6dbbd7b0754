"""The components of one sender's process, for modules that work on several of them."""

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
    """All components of one sender's process; `SenderApplication` creates each of them once.

    Attributes:
        configuration: the configuration in force; a reload replaces it as a whole.
        source: the sources that the configuration is read from.
        folder: path of the state folder.
        operator_actions: operations for the console.
        console: the HTTP server for operators.
        pool: connections to receivers.
        facade: the relay's interface to the dispatcher.
        claim: this process's claim on a folder that a previous process still holds.
        folder_lock: the lock of the state folder; None while the previous process holds it.
        journal: messages on disk.
        handover_reader: reads the reports of the previous process during an upgrade.
        notices: sends notices of messages that were given up to the platform's agent.
        relay: life cycle of messages.
        server: the HTTP server for clients.
        started_ms: Unix time of the start in ms.
        endpoint_cache: the endpoint list on disk.
        watch: the watch on the agent's endpoint list.
        control_socket: serves `dewpin status`.
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
        """Set the configuration; the other components are created at the start."""
        self.configuration = configuration
        self.source = source
        self.folder = configuration.deployment.sender.state_folder
