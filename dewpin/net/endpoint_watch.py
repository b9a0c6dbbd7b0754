"""Watch of the endpoint list at the platform's agent.

Requests are retried until they are answered. After a failed exchange the complete list is requested; while discovery
rejects requests, or the agent does not respond, the last list remains in use.
"""

import asyncio
from collections.abc import Callable

import msgspec

from ..log import events, log_event
from ..parsed_size import parsed_bytes
from ..ports import EndpointEntry
from .agent_connection import AgentConnection
from .endpoint_list import parse_endpoints
from .http_messages import Response
from .watch_schedule import RESPONSE_TIMEOUT_SECONDS, WATCH_SECONDS, WatchSchedule

MIN_REQUEST_PERIOD_SECONDS = 0.02  # an agent that answers every watch at once must not take all processor time
MAX_PARSED_LIST_BYTES = 32_000_000  # estimated memory of a list's values; a short text may have very many of them

OnUpdate = Callable[[list[EndpointEntry], bool, int], None]
"""Called with the entries, whether they are the complete list, and its revision."""


class EndpointWatch:
    """Watches the endpoint list and reports its updates.

    Attributes:
        revision: revision of the known list; None if no list is known.
    """

    def __init__(
        self,
        address: tuple[str, int],
        revision: int | None,
        on_update: OnUpdate,
        schedule: WatchSchedule,
        is_first_process: bool = False,
    ) -> None:
        """Start the watch.

        Args:
            address: address of the agent.
            revision: revision of the known list; with None the complete list is requested.
            on_update: called with each update.
            schedule: pauses before requests.
            is_first_process: whether no earlier process can have received an update.
        """
        self.revision = revision
        self._on_update = on_update
        self._schedule = schedule
        self._is_first_process = is_first_process
        self._may_be_renumbered = revision is not None  # the agent may have restarted its numbering since
        self._connection = AgentConnection(self._run)
        self._connection.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Watch at this address, beginning with a complete list, as another agent may number its lists differently."""
        self.revision = None
        self._may_be_renumbered = False
        self._is_first_process = False
        self._connection.move(address)

    def stop(self) -> None:
        """Stop the watch."""
        self._connection.stop()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        needs_whole_list = self.revision is None
        await asyncio.sleep(self._schedule.first_pause_seconds(self._is_first_process))
        while True:
            earliest_next_request = loop.time() + MIN_REQUEST_PERIOD_SECONDS
            timeout_seconds = RESPONSE_TIMEOUT_SECONDS if needs_whole_list else WATCH_SECONDS + RESPONSE_TIMEOUT_SECONDS
            response = await self._connection.exchange(self._format_request(needs_whole_list), timeout_seconds)
            if response is not None and response.status == 503:
                await asyncio.sleep(self._schedule.rejected_pause_seconds())
                continue
            needs_whole_list = not self._handle_response(response)
            if needs_whole_list:
                await asyncio.sleep(self._schedule.retry_pause_seconds())
            else:
                self._schedule.reset_backoff()
                await asyncio.sleep(earliest_next_request - loop.time())

    def _format_request(self, needs_whole_list: bool) -> bytes:
        query = b""
        if not needs_whole_list:
            assert self.revision is not None
            query = b"?index=%d&wait=%d" % (self.revision, WATCH_SECONDS * 1000.0)
        return b"GET /api/targets%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (query, self._connection.host_field)

    def _handle_response(self, response: Response | None) -> bool:
        """Report the update in a response, if any; return whether the watch can continue from its revision."""
        if response is None or response.status != 200:
            return False
        try:
            return self._apply_update(response.body)
        except Exception as error:
            log_event(events.WATCH_FAILED, why=f"{type(error).__name__}: {error}")
            return False

    def _apply_update(self, body: bytes) -> bool:
        if parsed_bytes(body) > MAX_PARSED_LIST_BYTES:
            raise ValueError("the list has too many values")
        update = msgspec.json.decode(body)
        revision, is_complete = int(update["revision"]), bool(update["complete"])
        if self._may_be_renumbered and self.revision is not None and revision < self.revision:
            self.revision = None  # the cached list has the numbering of another agent
        self._may_be_renumbered = False
        if self.revision is None and not is_complete:
            return False
        if self.revision is None or revision > self.revision or (is_complete and revision == self.revision):
            self._on_update(parse_endpoints(update["members"]), is_complete, revision)
            self.revision = revision
        return True
