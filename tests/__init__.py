"""Tests and the small stand-ins they need."""
