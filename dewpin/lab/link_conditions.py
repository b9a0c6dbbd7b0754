"""The conditions of a direction of a connection in the simulated network."""

DEFAULT_LATENCY_S = 0.0002


class LinkConditions:
    """The conditions of one direction of a connection; may be changed while in use.

    Attributes:
        latency_s: one-way latency.
        drops_all: whether bytes, EOF and resets are silently dropped.
        max_piece_bytes: maximum bytes in one delivery; 0: as written.
        is_cut: whether nothing arrives; what is still to be sent arrives once the link is restored, as with TCP
            (`SimulatedNetwork.deliver_held`).
    """

    __slots__ = ("latency_s", "drops_all", "max_piece_bytes", "is_cut")

    def __init__(
        self,
        latency_s: float = DEFAULT_LATENCY_S,
        drops_all: bool = False,
        max_piece_bytes: int = 0,
        is_cut: bool = False,
    ) -> None:
        self.latency_s = latency_s
        self.drops_all = drops_all
        self.max_piece_bytes = max_piece_bytes
        self.is_cut = is_cut

    def arrival_s(self, now_s: float, size: int) -> float:
        """Return when `size` bytes written now arrive; a link with limited bandwidth may override this."""
        return now_s + self.latency_s
