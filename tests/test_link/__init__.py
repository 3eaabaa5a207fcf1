"""Tests of the links between nodes, over the loopback interface."""
