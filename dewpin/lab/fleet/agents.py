"""Simulated agents of the platform, one per sender: they serve the endpoint list with updates and receive notices."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from .faulty_link import FaultyLink
from .http_connection import HttpConnection, HttpRequest
from .listening_port import ListeningPort, loopback_host
from .load_clock import LoadClock
from .receivers import Receiver, ReceiverPhase, Receivers
from .records import Submission
from .result_collector import ResultCollector

AGENT_NETWORK = 2
MAX_UPDATE_DELAY_MS = 300.0  # until an agent has an update; the delay of each agent is random

OnNotice = Callable[[Submission, str, float], None]
"""Called with the submission that a notice ends, the outcome in the notice, and the delay of a resubmission in ms."""

_Watch = tuple[HttpConnection, int]
"""A pending long poll for an update: its connection, and the revision that its sender knows."""


class Agent:
    """One sender's agent.

    Attributes:
        sender: number of its sender.
        port: its listener.
        link: its link to the sender.
        revision: revision of its list.
        watches: pending long polls.
    """

    def __init__(self, sender: int) -> None:
        self.sender = sender
        self.port = ListeningPort(loopback_host(AGENT_NETWORK, sender))
        self.link = FaultyLink()
        self.revision = 1
        self.watches: list[_Watch] = []


class Agents:
    """All agents.

    Attributes:
        agents: all agents, indexed by the numbers of their senders.
        rejects_list_requests: whether discovery is down, so that requests for the list get a 503.
    """

    def __init__(
        self,
        sender_count: int,
        receivers: Receivers,
        collector: ResultCollector,
        random_source: random.Random,
        clock: LoadClock,
        on_notice: OnNotice,
    ) -> None:
        self.agents = [Agent(sender) for sender in range(sender_count)]
        self.rejects_list_requests = False
        self._receivers = receivers
        self._changed_receivers: list[Receiver] = []  # change n created revision n + 1
        self._collector = collector
        self._random = random_source
        self._clock = clock
        self._on_notice = on_notice

    async def open(self) -> None:
        """Listen for all senders."""
        for agent in self.agents:
            await agent.port.open(
                lambda agent=agent: HttpConnection(  # type: ignore[misc]
                    agent.link, lambda connection, request: self._handle_request(agent, connection, request)
                )
            )

    def close(self) -> None:
        """Close all listeners, and the connections of pending long polls."""
        for agent in self.agents:
            agent.port.close()
            for connection, _ in agent.watches:
                connection.transport.abort()

    def initial_list(self, sender: int) -> dict[str, Any]:
        """Return the endpoint list at the start of the test, in the agent's JSON format."""
        members = [self._member(receiver, sender) for receiver in self._receivers.receivers if receiver.since_ms <= 0.0]
        return {"revision": 1, "complete": True, "members": members}

    def update_phase(self, receiver: Receiver, phase: ReceiverPhase) -> None:
        """Update the list; each agent has the update after a random delay of its own."""
        receiver.phase = phase
        self._changed_receivers.append(receiver)
        revision = len(self._changed_receivers) + 1
        for agent in self.agents:
            delay_seconds = self._random.uniform(0.0, MAX_UPDATE_DELAY_MS) / 1000.0
            asyncio.get_running_loop().call_later(delay_seconds, self._apply_update, agent, revision)

    def _apply_update(self, agent: Agent, revision: int) -> None:
        agent.revision = max(agent.revision, revision)
        for connection, known_revision in agent.watches:
            self._send_list(agent, connection, known_revision)
        agent.watches.clear()

    def _member(self, receiver: Receiver, sender: int) -> dict[str, Any]:
        host, port = receiver.ports[self._receivers.group_of(sender)].address
        return {
            "id": receiver.name,
            "host_port": f"{host}:{port}",
            "locality": receiver.zone,
            "flavor": "k",
            "cell": receiver.destination,
            "phase": receiver.phase.value,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def _handle_request(self, agent: Agent, connection: HttpConnection, request: HttpRequest) -> None:
        if request.path.startswith("/v1/notices"):
            self._handle_notices(request.body)
            connection.respond(204)
            return
        status = 503 if self.rejects_list_requests else 200
        self._collector.list_requests.append((self._clock.now_ms(), agent.sender, status))
        if self.rejects_list_requests:
            connection.respond(503)
            return
        query = request.path.partition("?")[2]
        parameters = dict(parameter.split("=", 1) for parameter in query.split("&") if "=" in parameter)
        known_revision = int(parameters["index"]) if "index" in parameters else None
        if known_revision is None or known_revision < agent.revision:
            self._send_list(agent, connection, known_revision)
            return
        watch = connection, known_revision
        agent.watches.append(watch)
        wait_seconds = float(parameters.get("wait", 0)) / 1000.0
        asyncio.get_running_loop().call_later(wait_seconds, self._end_watch, agent, watch)

    def _handle_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            outcome = notice["outcome"]
            if submission := self._collector.record_notice(notice["message"], outcome, self._clock.now_ms()):
                self._on_notice(submission, outcome, notice.get("retry_in_ms", 0.0))

    def _end_watch(self, agent: Agent, watch: _Watch) -> None:
        if watch in agent.watches:
            agent.watches.remove(watch)
            self._send_list(agent, *watch)

    def _send_list(self, agent: Agent, connection: HttpConnection, known_revision: int | None) -> None:
        """Send the receivers that changed since a revision, in their current state; the whole list if it is None."""
        if known_revision is None:
            listed = [receiver for receiver in self._receivers.receivers if receiver.phase != ReceiverPhase.LEFT]
        else:
            listed = list(dict.fromkeys(self._changed_receivers[max(0, known_revision - 1) : agent.revision - 1]))
        update = {
            "revision": agent.revision,
            "complete": known_revision is None,
            "members": [self._member(receiver, agent.sender) for receiver in listed],
        }
        for receiver in listed:
            if receiver.phase != ReceiverPhase.ACTIVE:
                self._collector.drain_notified_ms.setdefault((agent.sender, receiver.name), self._clock.now_ms())
        connection.respond(200, json.dumps(update).encode())
