"""Replacements for the platform, upstreams and networks, used by tests and benchmarks."""
