"""Speeds of replicas that do not all perform alike."""

from .slowness import SpeedTable

__all__ = ["SpeedTable"]
