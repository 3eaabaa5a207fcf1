"""Tests of the operator port."""
