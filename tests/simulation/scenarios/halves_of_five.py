"""Points 1 to 3 with five counted machines, of which two may be lost, cut into halves as in `halves`."""

from .halves import play as play  # the same plot; the world decides the rest

WORLD = {"stores": 5, "fronts": 3, "losses": 2}
