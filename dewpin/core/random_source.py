"""Reproducible pseudo-random numbers: the same seed gives the same sequence."""

MULTIPLIER, INCREMENT = 6364136223846793005, 1442695040888963407
SEED_MASK = 0x9E3779B97F4A7C15
BITS_64 = 0xFFFFFFFFFFFFFFFF


class RandomSource:
    """A 64-bit linear congruential generator; the high 32 bits of its state are used."""

    def __init__(self, seed: int) -> None:
        self.state = (seed ^ SEED_MASK) & BITS_64

    def uniform(self, low: float, high: float) -> float:
        """Return a number from `low` up to, but not including, `high`."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & BITS_64
        return low + (high - low) * (self.state >> 32) / 4294967296.0
