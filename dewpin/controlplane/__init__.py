"""The control plane: what a keeper stores, answers and changes."""
