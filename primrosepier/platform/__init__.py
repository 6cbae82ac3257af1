"""Adapter to the users' platform: its names, files and calls, and nothing else."""

__all__: list[str] = []
