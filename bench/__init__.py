"""Benchmarks that compare measured values with baselines and targets."""
