"""The dispatcher on the wire of the simulator, marsh-c21d."""
