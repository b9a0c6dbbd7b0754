"""dewpin: a relay that hands messages on to destinations nobody here controls."""
