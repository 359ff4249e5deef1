"""Serving layer for very many LoRA adapters on shared model engines."""

__version__ = "0.1.0"
