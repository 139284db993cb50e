"""Measurement programs; what they print is what docs/ quotes."""
