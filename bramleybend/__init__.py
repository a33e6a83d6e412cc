"""A request scheduler for heterogeneous inference engines."""
