"""News of members on their way: what was heard is sent on with other messages, so many times that all hear of it."""
from .member_messages import ROOM, Entry, bytes_of


class News:
    """What is to be sent on, by how often it was; of one member only the newest."""

    def __init__(self) -> None:
        self._by_times_sent: list[dict[str, Entry]] = [{}]

    def add(self, entry: Entry) -> None:
        """Takes a piece of news that nobody was sent yet."""
        for held in self._by_times_sent:
            held.pop(entry.name, None)
        self._by_times_sent[0][entry.name] = entry

    def take(self, first: Entry | None, most: int) -> tuple[Entry, ...]:
        """News for one datagram, what was sent least first, behind an entry that is told before all; each piece is
        sent `most` times."""
        told = [] if first is None else [first]
        chosen = self._choose(sum(bytes_of(entry) for entry in told))
        for times_sent, entry in chosen:
            self._count_sent(times_sent, entry, most)
        return (*told, *(entry for _, entry in chosen))

    def _choose(self, size: int) -> list[tuple[int, Entry]]:
        chosen: list[tuple[int, Entry]] = []
        for times_sent, held in enumerate(self._by_times_sent):
            for entry in held.values():
                size += bytes_of(entry)
                if size > ROOM:
                    return chosen
                chosen.append((times_sent, entry))
        return chosen

    def _count_sent(self, times_sent: int, entry: Entry, most: int) -> None:
        del self._by_times_sent[times_sent][entry.name]
        if times_sent + 1 >= most:
            return
        if times_sent + 1 == len(self._by_times_sent):
            self._by_times_sent.append({})
        self._by_times_sent[times_sent + 1][entry.name] = entry
