"""The small process beside one engine or plain service."""
