"""The measurements, a module for each kind of cost."""
