"""Soaks: a tier of real processes under seeded series of disruptions, which overlap, while clients go on."""
