"""A router for language-model traffic with long, shared, nested prompts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
