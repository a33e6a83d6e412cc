"""Clients of the platform's services: log service, VM list, runners."""
