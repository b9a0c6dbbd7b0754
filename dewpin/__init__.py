"""dewpin: a message relay that delivers to destinations operated by others."""

__version__ = "0.2.0"
