"""Detect requests that crash engines, and quarantine them."""
