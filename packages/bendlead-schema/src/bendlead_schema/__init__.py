"""Typed messages, settings and stored records, generated from schemas."""
