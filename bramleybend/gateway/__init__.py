"""The caller side: HTTP, tickets, dispatch, answers."""
