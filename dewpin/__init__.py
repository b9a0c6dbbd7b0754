"""dewpin: a relay that hands mails on to destinations nobody here controls."""

__version__ = "0.2.0"
