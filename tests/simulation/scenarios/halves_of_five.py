"""Points 1 to 3 with five stores, of which two may be lost, partitioned as in `halves`."""

from .halves import run_scenario as run_scenario  # the same steps; WORLD makes the difference

WORLD = {"stores": 5, "fronts": 3, "tolerated_losses": 2}
