"""Serving gateway: online requests and batch jobs on one fleet of engines."""
