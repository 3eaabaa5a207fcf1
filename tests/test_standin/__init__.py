"""Tests of the relay between regions."""
