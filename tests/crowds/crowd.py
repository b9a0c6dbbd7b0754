"""Many clients at one address, on one event loop in a thread of the test."""

import asyncio
import contextlib
import socket
import threading
from collections import Counter
from collections.abc import Awaitable, Callable

RECONNECT_DELAY_S = 0.1
RECEIVE_BYTES = 65536
STATUS_OF_RESPONSE = slice(9, 12)


class Connection:
    """A connection of one client.

    answers: the status of the first response on each connection, or "closed"; shared by all clients of a crowd.
    """

    def __init__(self, sock: socket.socket, answers: "Counter[str]") -> None:
        self._socket = sock
        self._loop = asyncio.get_running_loop()
        self._answers = answers

    async def send(self, data: bytes | memoryview) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def read_to_end(self) -> None:
        """Read until the server closes the connection."""
        first = await self._loop.sock_recv(self._socket, RECEIVE_BYTES)
        self._answers[first[STATUS_OF_RESPONSE].decode("latin-1") or "closed"] += 1
        while await self._loop.sock_recv(self._socket, RECEIVE_BYTES):
            pass

    async def stay_open(self) -> None:
        """Neither send nor read until the crowd ends."""
        await asyncio.Event().wait()


Behaviour = Callable[[Connection], Awaitable[None]]
"""What a client does on one connection; then it opens the next one."""


class Crowd:
    """Clients that open one connection after another and behave alike, until the block ends."""

    def __init__(self, address: str, client_count: int, behaviour: Behaviour) -> None:
        host, _, port = address.rpartition(":")
        self.answers: Counter[str] = Counter()
        self._address = host, int(port)
        self._client_count = client_count
        self._behaviour = behaviour
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._stopped: asyncio.Future[None] = self._loop.create_future()

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._loop.call_soon_threadsafe(self._stopped.set_result, None)
        self._thread.join()
        self._loop.close()

    def _run(self) -> None:
        self._loop.run_until_complete(self._play())

    async def _play(self) -> None:
        clients = [asyncio.ensure_future(self._repeat()) for _ in range(self._client_count)]
        await self._stopped
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _repeat(self) -> None:
        while True:
            try:
                await self._use_connection()
            except OSError as error:
                self.answers[type(error).__name__] += 1
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_connection(self) -> None:
        sock = socket.socket()
        with contextlib.closing(sock):
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            await self._behaviour(Connection(sock, self.answers))
