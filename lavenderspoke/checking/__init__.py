"""Checks the YAML of settings and documents, and names each mistake with its line."""
