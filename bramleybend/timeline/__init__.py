"""Merges the event logs of all processes into one causally ordered timeline."""
