"""The owner side: queues, grants, runner watch."""
