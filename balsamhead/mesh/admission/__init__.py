"""Decide which requests run first, wait or are refused while demand exceeds capacity."""
