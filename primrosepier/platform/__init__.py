"""Adapters to the users' platform: its header names, files, store and HTTP calls."""

__all__: list[str] = []
