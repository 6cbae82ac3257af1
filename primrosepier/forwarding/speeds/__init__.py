"""Speeds of replicas that do not all perform alike."""

from .gauges import set_speed_gauges
from .homes import HomeWeights, rank_homes
from .observed import ObservedSpeeds
from .slowness import SpeedTable

__all__ = [
    "HomeWeights",
    "ObservedSpeeds",
    "SpeedTable",
    "rank_homes",
    "set_speed_gauges",
]
