"""Measurements; their results stand in docs/."""
