"""Data types shared by the gateway and its platform adapters."""
