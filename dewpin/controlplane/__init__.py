<<<<<<< HEAD
"""The control plane: what a keeper stores, answers and changes."""
=======
"""The control plane: the agreed system state, leases of senders, the platform's list, the operator's API, the stores."""
>>>>>>> main
