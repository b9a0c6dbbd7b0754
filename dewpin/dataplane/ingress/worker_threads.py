"""A pool of threads that each serve one connection at a time and are reused.

Starting a thread costs about as much as serving a request, and many clients open a new connection for each request.
"""

import queue
import socket
import threading
from collections.abc import Callable

IDLE_TIMEOUT_S = 5.0
"""Time after which an idle thread ends."""


class WorkerThreads:
    """A thread pool without a size limit.

    `serve` is called on a thread for each socket and must not raise. `_idle_count` is the number of threads waiting for
    a socket, minus the number of submitted sockets that they have not taken yet.
    """

    def __init__(self, serve: Callable[[socket.socket], None], idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        self._serve = serve
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()
        self._submitted: queue.SimpleQueue[socket.socket] = queue.SimpleQueue()
        self._idle_count = 0

    def submit(self, sock: socket.socket) -> None:
        """Serve a socket on an idle or new thread. Raises RuntimeError if no thread can be started."""
        with self._lock:
            if self._idle_count > 0:
                self._idle_count -= 1
                self._submitted.put(sock)
                return
        threading.Thread(target=self._run, args=(sock,), name="connection", daemon=True).start()

    def _run(self, first: socket.socket) -> None:
        sock: socket.socket | None = first
        while sock is not None:
            self._serve(sock)
            with self._lock:
                self._idle_count += 1
            sock = self._next_socket()

    def _next_socket(self) -> socket.socket | None:
        """Return the next socket, or None after the idle time-out."""
        try:
            return self._submitted.get(timeout=self._idle_timeout_s)
        except queue.Empty:
            pass
        with self._lock:
            # A socket may have been submitted between the time-out and acquiring the lock.
            try:
                return self._submitted.get_nowait()
            except queue.Empty:
                self._idle_count -= 1
                return None
