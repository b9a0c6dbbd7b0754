"""The measurements, one module for each kind of cost."""
