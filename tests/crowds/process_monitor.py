"""Observes a process while a crowd of clients uses it: memory, open descriptors, and whether it lives."""

import os
import threading
from collections.abc import Sequence
from pathlib import Path

SAMPLE_PERIOD_S = 0.02
BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
HEX = 16


class ProcessMonitor:
    """Samples one process until the block ends.

    peak_bytes: maximum of the resident memory, and of its sum with the bytes that arrived at the process unread.
    peak_resident_bytes, peak_unread_bytes: the maximum of each of the two.
    peak_descriptors: maximum number of open descriptors.
    """

    def __init__(self, pid: int, ports: Sequence[int]) -> None:
        self.peak_bytes = 0
        self.peak_resident_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0
        self._pid = pid
        self._folder = Path(f"/proc/{pid}")
        self._ports = frozenset(ports)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._sample_repeatedly, daemon=True)

    def __enter__(self) -> "ProcessMonitor":
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stopping.set()
        self._thread.join()

    @property
    def is_alive(self) -> bool:
        try:
            return "zombie" not in self._status()["State"]
        except OSError:
            return False

    def __str__(self) -> str:
        peak, resident, unread = (
            round(count / BYTES_PER_MB) for count in (self.peak_bytes, self.peak_resident_bytes, self.peak_unread_bytes)
        )
        return (
            f"process {self._pid}: peak {peak} MB (resident {resident} MB, unread {unread} MB),"
            f" {self.peak_descriptors} descriptors"
        )

    def _sample_repeatedly(self) -> None:
        while not self._stopping.wait(SAMPLE_PERIOD_S):
            try:
                self._sample()
            except (OSError, KeyError):
                return  # the process has ended

    def _sample(self) -> None:
        status = self._status()
        peak_bytes = _kilobytes(status["VmHWM"])
        used_bytes = _kilobytes(status["VmRSS"]) + self._unread_bytes()
        self.peak_bytes = max(self.peak_bytes, peak_bytes, used_bytes)
        self.peak_unread_bytes = max(self.peak_unread_bytes, used_bytes - _kilobytes(status["VmRSS"]))
        self.peak_resident_bytes = max(self.peak_resident_bytes, peak_bytes)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(self._folder / "fd")))

    def _status(self) -> dict[str, str]:
        lines = (self._folder / "status").read_text().splitlines()
        return {name: value.strip() for name, _, value in (line.partition(":") for line in lines)}

    def _unread_bytes(self) -> int:
        """Return the bytes in the receive queues of the connections at the process's ports."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            is_established = state in ("01", "08")
            if is_established and int(local.partition(":")[2], HEX) in self._ports:
                total += int(queues.partition(":")[2], HEX)
        return total


def _kilobytes(value: str) -> int:
    return int(value.split()[0]) * BYTES_PER_KB
