"""Tests that inject failures into real processes under load."""
