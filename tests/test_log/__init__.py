"""Tests of the log's HTTP client."""
