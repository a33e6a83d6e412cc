"""Tests of the decisions without a network."""
