"""Tests of the record fold."""
