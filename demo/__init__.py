"""Demonstration of a deployment on loopback addresses, from publication to routed calls."""
