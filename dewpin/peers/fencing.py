"""Fencing at the side that takes the effects of a lease holder."""


class FencingGuard:
    """Rejects acts under an older fencing token than the latest that it has seen.

    `highest_token`: the latest. `rejected_count`: acts that were rejected."""

    def __init__(self, highest_token: int = 0) -> None:
        self.highest_token = highest_token
        self.rejected_count = 0

    def accepts(self, fencing_token: int) -> bool:
        """Whether an act under this token may take effect."""
        if fencing_token < self.highest_token:
            self.rejected_count += 1
            return False
        self.highest_token = fencing_token
        return True
