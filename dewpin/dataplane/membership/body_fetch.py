"""Fetches the body of a configuration page by page, from the senders above in the relay tree or a control server.

One body is fetched at a time, and one page of it. What came stays when a source fails: the next one goes on from there.
The whole is checked against its digest before it is used. What is here already is passed on meanwhile.
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
SILENT_SHUN_S = 3.0
REFUSAL_SHUN_S = 0.3
"""A source that is served late itself, or serves others just now, may have a page at any moment."""
ALL_SHUNNED_PAUSE_S = 0.05
_NO_ANSWER = frozenset({"timeout", "connect", "closed"})


class BodyName(NamedTuple):
    """A body by its digest; `base`: the version that its configuration builds on, which the digest covers."""

    digest: str
    base: int


class BodySources(Protocol):
    """Where a body may be had."""

    def parents(self) -> list[str]:
        """The senders above in the relay tree, the nearest first."""

    def control_servers(self) -> list[str]:
        """The control servers, in the order in which they are to be asked."""


class BodyFetch:
    """The fetch that is under way, if any. `on_page` is called for each page, `on_whole` with a body that is whole."""

    def __init__(
        self,
        client: RpcClient,
        caller: str,
        sources: BodySources,
        on_page: Callable[[], None],
        on_whole: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._caller = caller
        self._sources = sources
        self._on_page = on_page
        self._on_whole = on_whole
        self._clock = clock
        self._name: BodyName | None = None
        self._text = ""
        self._length = 0
        self._distrusts_parents = False
        self._shunned_until_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def want(self, name: BodyName | None) -> None:
        """Fetches that body in place of another one; None: nothing."""
        if name == self._name:
            return
        self.stop()
        self._name, self._distrusts_parents = name, False
        if name is not None:
            self._task = asyncio.ensure_future(self._run(name))

    def stop(self) -> None:
        """Gives the fetch up."""
        if self._task is not None:
            self._task.cancel()
        self._task, self._name = None, None
        self._text, self._length = "", 0

    def known(self, digest: str) -> KnownBody | None:
        """What came so far of the body with that digest."""
        if self._name is None or self._name.digest != digest:
            return None
        return KnownBody(self._text, self._length)

    async def _run(self, name: BodyName) -> None:
        while not self._is_whole():
            await self._fetch_page(name)
            if self._is_whole() and configuration_digest(self._text.encode(), name.base) != name.digest:
                self._begin_anew(name)
        body = self._text
        self._task = None  # the owner asks for another body, or for none, as it takes this one
        self._on_whole(name.digest, body)

    def _is_whole(self) -> bool:
        return 0 < self._length <= len(self._text)

    def _begin_anew(self, name: BodyName) -> None:
        """After other bytes than the digest's. Any page may have been the wrong one; control servers check theirs."""
        log.warning("configuration.other_bytes", extra={"digest": name.digest})
        self._text, self._length = "", 0
        self._distrusts_parents = True

    async def _fetch_page(self, name: BodyName) -> None:
        source = self._source()
        if source is None:
            await asyncio.sleep(ALL_SHUNNED_PAUSE_S)
            return
        request = BodyRequest(RELAY_BODY, name.digest, len(self._text), self._caller)
        try:
            self._take(BodyPage.decode(await self._client.call(source, request.encode(), PAGE_TIMEOUT_S)))
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            self._shun(source, fault)
        except Exception as fault:  # whatever it is, the body is lacking still
            log.exception("configuration.fetch_fault", extra={"source": source})
            self._shun(source, fault)

    def _source(self) -> str | None:
        now_s = self._clock()
        parents = [] if self._distrusts_parents else self._sources.parents()
        sources = [*parents, *self._sources.control_servers()]
        return next((one for one in sources if self._shunned_until_s.get(one, now_s) <= now_s), None)

    def _take(self, page: BodyPage) -> None:
        if not page.part:
            raise ValueError("an empty page")
        self._text += page.part
        self._length = page.length
        self._on_page()

    def _shun(self, source: str, fault: Exception) -> None:
        is_silent = isinstance(fault, RpcError) and fault.kind in _NO_ANSWER
        self._shunned_until_s[source] = self._clock() + (SILENT_SHUN_S if is_silent else REFUSAL_SHUN_S)
        log.debug("configuration.page_failed", extra={"source": source, "why": repr(fault)})
