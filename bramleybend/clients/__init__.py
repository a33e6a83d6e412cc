"""Clients of the platform: log service, VM list, runners."""
