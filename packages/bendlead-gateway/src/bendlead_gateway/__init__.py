"""Requests straight to engines, and batch jobs in the places they leave."""
