"""Tests of the configuration distribution."""
