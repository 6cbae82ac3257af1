"""Forwarding of declared routes: from a caller's call to an endpoint's answer."""

__all__: list[str] = []
