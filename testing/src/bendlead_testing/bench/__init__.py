"""Measurements; every one ends with a line of JSON."""
