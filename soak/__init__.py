"""Soak test: run a mesh of real processes under random faults and check its invariants."""
