"""Counts of events over the recent past, in memory that does not grow."""


class SlidingWindowCounter:
    """Counts by buckets of equal length, which are used again in turn.

    bucket_ms: the length of a bucket.
    counts: what was counted, by bucket.
    bucket_numbers: which span of time a bucket holds, counted from time 0; -1 if none yet.
    """

    __slots__ = ("bucket_ms", "counts", "bucket_numbers")

    def __init__(self, bucket_ms: float, buckets: int) -> None:
        self.bucket_ms = bucket_ms
        self.counts = [0.0] * buckets
        self.bucket_numbers = [-1] * buckets

    def add(self, now: float, amount: float = 1.0) -> None:
        """Counts `amount` in the bucket of this moment."""
        number = int(now // self.bucket_ms)
        index = number % len(self.counts)
        if self.bucket_numbers[index] != number:
            self.bucket_numbers[index] = number
            self.counts[index] = 0.0
        self.counts[index] += amount

    def recent(self, now: float, buckets: int) -> list[float]:
        """The counts of the last `buckets` complete buckets and of the running one, oldest first."""
        counts, numbers = self.counts, self.bucket_numbers
        size = len(counts)
        current = int(now // self.bucket_ms)
        return [
            counts[number % size] if numbers[number % size] == number else 0.0
            for number in range(current - buckets, current + 1)
        ]
