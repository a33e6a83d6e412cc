"""Tests, with their fakes and helpers."""
