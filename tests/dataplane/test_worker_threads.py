"""Worker threads: each socket is served once, and idle threads are reused."""

import queue
import socket
import threading

from dataplane.peers import PATIENCE_S

from dewpin.dataplane.ingress.worker_threads import WorkerThreads


def sockets(number):
    return [socket.socket() for _ in range(number)]


def test_idle_thread_serves_next_socket():
    served = queue.SimpleQueue()
    workers = WorkerThreads(lambda sock: served.put((sock, threading.get_ident())))
    threads = set()
    for sock in sockets(20):
        workers.submit(sock)
        served_socket, thread = served.get(timeout=PATIENCE_S)
        assert served_socket is sock
        threads.add(thread)
    assert len(threads) < 20


def test_sockets_submitted_together_are_served_concurrently():
    barrier = threading.Barrier(8)
    done = threading.Semaphore(0)

    def serve(sock):
        barrier.wait(PATIENCE_S)
        done.release()

    workers = WorkerThreads(serve)
    for _ in range(3):
        for sock in sockets(8):
            workers.submit(sock)
        for _ in range(8):
            assert done.acquire(timeout=PATIENCE_S)


def test_no_socket_is_lost_while_threads_end():
    served = threading.Semaphore(0)
    workers = WorkerThreads(lambda sock: served.release(), idle_timeout_s=0.0)
    for sock in sockets(300):
        workers.submit(sock)
    for _ in range(300):
        assert served.acquire(timeout=PATIENCE_S)
