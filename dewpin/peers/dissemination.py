"""Dissemination of updates: each rides on so many other messages that all members receive it (SWIM's piggybacking)."""

from .membership_messages import MAX_UPDATE_BYTES, MemberRecord, estimated_bytes


class UpdateQueue:
    """The updates that are to be sent, by how often each was sent; of one member only the newest."""

    def __init__(self) -> None:
        self._by_times_sent: list[dict[str, MemberRecord]] = [{}]

    def add(self, record: MemberRecord) -> None:
        """Queues an update that was not sent yet."""
        for records in self._by_times_sent:
            records.pop(record.name, None)
        self._by_times_sent[0][record.name] = record

    def take(self, first: MemberRecord | None, max_times_sent: int) -> tuple[MemberRecord, ...]:
        """The updates for one datagram, those that were sent least often first, behind a record that goes before all.

        Each update is dropped once it was sent `max_times_sent` times."""
        leading = [] if first is None else [first]
        chosen = self._choose(sum(estimated_bytes(record) for record in leading))
        for times_sent, record in chosen:
            self._count_sent(times_sent, record, max_times_sent)
        return (*leading, *(record for _, record in chosen))

    def _choose(self, size_bytes: int) -> list[tuple[int, MemberRecord]]:
        chosen: list[tuple[int, MemberRecord]] = []
        for times_sent, records in enumerate(self._by_times_sent):
            for record in records.values():
                size_bytes += estimated_bytes(record)
                if size_bytes > MAX_UPDATE_BYTES:
                    return chosen
                chosen.append((times_sent, record))
        return chosen

    def _count_sent(self, times_sent: int, record: MemberRecord, max_times_sent: int) -> None:
        del self._by_times_sent[times_sent][record.name]
        if times_sent + 1 >= max_times_sent:
            return
        if times_sent + 1 == len(self._by_times_sent):
            self._by_times_sent.append({})
        self._by_times_sent[times_sent + 1][record.name] = record
