"""Forwarding of calls on declared routes to endpoints."""

__all__: list[str] = []
