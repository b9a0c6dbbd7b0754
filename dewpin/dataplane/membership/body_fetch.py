"""Fetches the body of a configuration page by page, from the senders above in the relay tree or a control server.

One body is fetched at a time, and one page of it. What has arrived stays when a source fails: the next source continues
from there. The complete body is checked against its digest before it is used. The pages that are here already are
available to the senders below in the relay tree meanwhile.
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
"""As of a watch: several pages at 2 Mbit/s, and the wait for one that the source lacks itself."""
RETRY_AFTER_NO_RESPONSE_S = 3.0
"""How long a source that did not answer is not asked again."""
RETRY_AFTER_REFUSAL_S = 0.3
"""The same of a source that answered by an error: it may have the page, or capacity for this sender, at any moment."""
NO_SOURCE_DELAY_S = 0.05
_NO_RESPONSE_ERROR_KINDS = frozenset({"timeout", "connect", "closed"})


class BodyName(NamedTuple):
    """Identifies a body by its digest; `base` is the version that its configuration builds on, which it covers."""

    digest: str
    base: int


class BodySources(Protocol):
    """Where a body can be fetched from."""

    def parents(self) -> list[str]:
        """Return the senders above in the relay tree, the nearest first."""

    def control_servers(self) -> list[str]:
        """Return the control servers, in the order in which they are to be asked."""


class BodyFetch:
    """The fetch that is in progress, if any.

    caller: address of this sender, which the sources use to limit the pages they send it.
    on_page: called for each page that has arrived.
    on_complete: called with the digest and the body once it is complete and checked.
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
        self._text = ""
        self._length = 0
        self._distrusts_parents = False
        self._retry_at_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def fetch(self, name: BodyName | None) -> None:
        """Fetch this body instead of any other one; None ends the fetch."""
        if name == self._name:
            return
        self.stop()
        self._name, self._distrusts_parents = name, False
        if name is not None:
            self._task = asyncio.ensure_future(self._run(name))

    def stop(self) -> None:
        """Cancel the fetch and drop what has arrived."""
        if self._task is not None:
            self._task.cancel()
        self._task, self._name = None, None
        self._text, self._length = "", 0

    def known_body(self, digest: str) -> KnownBody | None:
        """Return what has arrived so far of the body with that digest, None if it is not being fetched."""
        if self._name is None or self._name.digest != digest:
            return None
        return KnownBody(self._text, self._length)

    async def _run(self, name: BodyName) -> None:
        while not self._is_complete():
            await self._fetch_page(name)
            if self._is_complete() and configuration_digest(self._text.encode(), name.base) != name.digest:
                self._restart(name)
        body = self._text
        self._task = None  # the owner asks for another body, or for none, as it takes this one
        self._on_complete(name.digest, body)

    def _is_complete(self) -> bool:
        return 0 < self._length <= len(self._text)

    def _restart(self, name: BodyName) -> None:
        """Drop a body that does not match its digest.

        Any of its pages may have been the wrong one. Control servers check theirs, so only they are asked from now on.
        """
        log.warning("configuration.other_bytes", extra={"digest": name.digest})
        self._text, self._length = "", 0
        self._distrusts_parents = True

    async def _fetch_page(self, name: BodyName) -> None:
        source = self._next_source()
        if source is None:
            await asyncio.sleep(NO_SOURCE_DELAY_S)
            return
        request = BodyRequest(RELAY_BODY, name.digest, len(self._text), self._caller)
        try:
            self._add_page(BodyPage.decode(await self._client.call(source, request.encode(), PAGE_TIMEOUT_S)))
        except (RpcError, KeyError, TypeError, ValueError) as error:
            self._avoid(source, error)
        except Exception as error:  # whatever it is, the body is still missing
            log.exception("configuration.fetch_fault", extra={"source": source})
            self._avoid(source, error)

    def _next_source(self) -> str | None:
        now_s = self._clock()
        parents = [] if self._distrusts_parents else self._sources.parents()
        sources = [*parents, *self._sources.control_servers()]
        return next((source for source in sources if self._retry_at_s.get(source, now_s) <= now_s), None)

    def _add_page(self, page: BodyPage) -> None:
        if not page.part:
            raise ValueError("an empty page")
        self._text += page.part
        self._length = page.length
        self._on_page()

    def _avoid(self, source: str, error: Exception) -> None:
        """Leave a source alone for a while after it failed."""
        is_unanswered = isinstance(error, RpcError) and error.kind in _NO_RESPONSE_ERROR_KINDS
        self._retry_at_s[source] = self._clock() + (
            RETRY_AFTER_NO_RESPONSE_S if is_unanswered else RETRY_AFTER_REFUSAL_S
        )
        log.debug("configuration.page_failed", extra={"source": source, "why": repr(error)})
