"""Dissemination of membership updates, piggybacked on other messages until all members have received them (SWIM)."""

from .membership_messages import MAX_UPDATE_BYTES, MemberRecord, estimated_bytes


class UpdateQueue:
    """Pending updates, grouped by how often each was sent; holds only the latest update of each member."""

    def __init__(self) -> None:
        self._by_times_sent: list[dict[str, MemberRecord]] = [{}]

    def add(self, record: MemberRecord) -> None:
        """Queue a new update; replace an earlier one of the same member."""
        for records in self._by_times_sent:
            records.pop(record.name, None)
        self._by_times_sent[0][record.name] = record

    def take(self, first: MemberRecord | None, max_times_sent: int) -> tuple[MemberRecord, ...]:
        """Return the updates for one datagram: the record `first` if given, then those sent least often.

        An update is removed after it was sent `max_times_sent` times."""
        leading = [] if first is None else [first]
        selected = self._select(sum(estimated_bytes(record) for record in leading))
        for times_sent, record in selected:
            self._record_sent(times_sent, record, max_times_sent)
        return (*leading, *(record for _, record in selected))

    def _select(self, size_bytes: int) -> list[tuple[int, MemberRecord]]:
        selected: list[tuple[int, MemberRecord]] = []
        for times_sent, records in enumerate(self._by_times_sent):
            for record in records.values():
                size_bytes += estimated_bytes(record)
                if size_bytes > MAX_UPDATE_BYTES:
                    return selected
                selected.append((times_sent, record))
        return selected

    def _record_sent(self, times_sent: int, record: MemberRecord, max_times_sent: int) -> None:
        del self._by_times_sent[times_sent][record.name]
        if times_sent + 1 >= max_times_sent:
            return
        if times_sent + 1 == len(self._by_times_sent):
            self._by_times_sent.append({})
        self._by_times_sent[times_sent + 1][record.name] = record
