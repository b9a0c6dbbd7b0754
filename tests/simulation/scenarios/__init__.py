"""One scenario for each of the five points of `docs/control-safety.md`; each draws times and victims from the seed."""
