"""Fencing at the resource that a lease holder acts on."""


class FencingGuard:
    """Rejects operations with a fencing token lower than the highest one seen.

    `highest_token`: the highest token seen. `rejected_count`: number of rejected operations."""

    def __init__(self, highest_token: int = 0) -> None:
        self.highest_token = highest_token
        self.rejected_count = 0

    def accepts(self, fencing_token: int) -> bool:
        """Return whether an operation with this token may take effect."""
        if fencing_token < self.highest_token:
            self.rejected_count += 1
            return False
        self.highest_token = fencing_token
        return True
