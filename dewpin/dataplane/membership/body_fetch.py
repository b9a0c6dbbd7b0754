"""Fetches the body of a configuration page by page from the parents in the relay tree or a control server.

Only one body is fetched at a time, one page after another. After the failure of a source, the fetch resumes at the next
source without loss of the pages received so far, which are already available to the children in the relay tree. The
complete body is verified against its digest before use.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from dewpin.cluster.body_messages import RELAY_BODY, BodyPage, BodyRequest, configuration_digest
from dewpin.cluster.body_pages import KnownBody
from dewpin.cluster.rpc import RpcClient, RpcError

log = logging.getLogger(__name__)

PAGE_TIMEOUT_S = 1.7
"""Same as for a watch: allows for several pages at 2 Mbit/s and for a source that is still waiting for the page."""
RETRY_AFTER_NO_RESPONSE_S = 3.0
"""Retry delay for a source that did not respond."""
RETRY_AFTER_REFUSAL_S = 0.3
"""Retry delay for a source that responded with an error: it may soon have the page, or capacity for this sender."""
NO_SOURCE_DELAY_S = 0.05
_NO_RESPONSE_ERROR_KINDS = frozenset({"timeout", "connect", "closed"})


class BodyName(NamedTuple):
    """Identifies a body by its digest, which covers `base`, the version that the configuration is based on."""

    digest: str
    base: int


class BodySources(Protocol):
    """The sources from which a body can be fetched."""

    def parents(self) -> list[str]:
        """Return the parents in the relay tree, nearest first."""

    def control_servers(self) -> list[str]:
        """Return the control servers in the order of preference."""


class BodyFetch:
    """The fetch in progress, if any.

    caller: address of this sender, by which the sources limit the pages they send to it.
    on_page: called after each received page.
    on_complete: called with the digest and the body once the body is complete and verified.
    """

    def __init__(
        self,
        client: RpcClient,
        caller: str,
        sources: BodySources,
        on_page: Callable[[], None],
        on_complete: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._caller = caller
        self._sources = sources
        self._on_page = on_page
        self._on_complete = on_complete
        self._clock = clock
        self._name: BodyName | None = None
        self._received = ""
        self._length = 0
        self._skips_parents = False
        self._retry_at_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def fetch(self, name: BodyName | None) -> None:
        """Fetch this body instead of any other; None cancels the fetch."""
        if name == self._name:
            return
        self.stop()
        self._name, self._skips_parents = name, False
        if name is not None:
            self._task = asyncio.ensure_future(self._run(name))

    def stop(self) -> None:
        """Cancel the fetch and discard the received pages."""
        if self._task is not None:
            self._task.cancel()
        self._task, self._name = None, None
        self._received, self._length = "", 0

    def known_body(self, digest: str) -> KnownBody | None:
        """Return the received part of the body with this digest; None if it is not being fetched."""
        if self._name is None or self._name.digest != digest:
            return None
        return KnownBody(self._received, self._length)

    async def _run(self, name: BodyName) -> None:
        while not self._is_complete():
            await self._fetch_page(name)
            if self._is_complete() and configuration_digest(self._received.encode(), name.base) != name.digest:
                self._discard_body(name)
        body = self._received
        self._task = None  # the callback may start another fetch or cancel this one, which must not cancel this task
        self._on_complete(name.digest, body)

    def _is_complete(self) -> bool:
        return 0 < self._length <= len(self._received)

    def _discard_body(self, name: BodyName) -> None:
        """Discard a body that does not match its digest.

        Any of its pages may be wrong. Control servers verify their bodies, so only they are asked from now on.
        """
        log.warning("configuration.other_bytes", extra={"digest": name.digest})
        self._received, self._length = "", 0
        self._skips_parents = True

    async def _fetch_page(self, name: BodyName) -> None:
        source = self._next_source()
        if source is None:
            await asyncio.sleep(NO_SOURCE_DELAY_S)
            return
        request = BodyRequest(RELAY_BODY, name.digest, len(self._received), self._caller)
        try:
            self._add_page(BodyPage.decode(await self._client.call(source, request.encode(), PAGE_TIMEOUT_S)))
        except (RpcError, KeyError, TypeError, ValueError) as error:
            self._back_off_from(source, error)
        except Exception as error:  # the body is still missing, so an unexpected error must not end the fetch
            log.exception("configuration.fetch_fault", extra={"source": source})
            self._back_off_from(source, error)

    def _next_source(self) -> str | None:
        now_s = self._clock()
        parents = [] if self._skips_parents else self._sources.parents()
        sources = [*parents, *self._sources.control_servers()]
        return next((source for source in sources if self._retry_at_s.get(source, now_s) <= now_s), None)

    def _add_page(self, page: BodyPage) -> None:
        if not page.part:
            raise ValueError("page of the configuration body is empty")
        self._received += page.part
        self._length = page.length
        self._on_page()

    def _back_off_from(self, source: str, error: Exception) -> None:
        """Record the failure of a source, which is not asked again until its retry delay has passed."""
        is_unanswered = isinstance(error, RpcError) and error.kind in _NO_RESPONSE_ERROR_KINDS
        self._retry_at_s[source] = self._clock() + (
            RETRY_AFTER_NO_RESPONSE_S if is_unanswered else RETRY_AFTER_REFUSAL_S
        )
        log.debug("configuration.page_failed", extra={"source": source, "why": repr(error)})
