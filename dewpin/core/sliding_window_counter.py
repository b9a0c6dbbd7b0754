"""Counts recent events in a fixed amount of memory."""


class SlidingWindowCounter:
    """Counts in a ring of buckets of equal length.

    bucket_ms: length of a bucket.
    counts: count of each bucket.
    bucket_numbers: number of the time span that each bucket holds, counted from time 0; -1 if unused.
    """

    __slots__ = ("bucket_ms", "counts", "bucket_numbers")

    def __init__(self, bucket_ms: float, buckets: int) -> None:
        self.bucket_ms = bucket_ms
        self.counts = [0.0] * buckets
        self.bucket_numbers = [-1] * buckets

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add `amount` to the current bucket."""
        number = int(now // self.bucket_ms)
        index = number % len(self.counts)
        if self.bucket_numbers[index] != number:
            self.bucket_numbers[index] = number
            self.counts[index] = 0.0
        self.counts[index] += amount

    def recent(self, now: float, buckets: int) -> list[float]:
        """Return the counts of the last `buckets` complete buckets and of the current one, oldest first."""
        counts, numbers = self.counts, self.bucket_numbers
        size = len(counts)
        current = int(now // self.bucket_ms)
        return [
            counts[number % size] if numbers[number % size] == number else 0.0
            for number in range(current - buckets, current + 1)
        ]
