"""Tests that the documentation and the module structure match the code."""
