"""Tests of the caller port."""
