"""Speeds of replicas that do not all perform alike."""

from .homes import HomeWeights, rank_homes
from .observed import ObservedSpeeds
from .slowness import SpeedTable

__all__ = ["HomeWeights", "ObservedSpeeds", "SpeedTable", "rank_homes"]
