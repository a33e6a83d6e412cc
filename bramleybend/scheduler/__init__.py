"""The scheduler: request queues, grants, gossip and engine orders."""
