"""Serving layer for large numbers of LoRA adapters on shared model engines."""

__version__ = "0.1.0"
