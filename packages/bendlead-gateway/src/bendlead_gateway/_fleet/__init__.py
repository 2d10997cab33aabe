"""Configuration, engines and peers as known to one process."""
