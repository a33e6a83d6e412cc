"""Command line programs for operators, and entry points of the servers."""
