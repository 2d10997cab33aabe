"""Forward online requests to engines and relay their responses."""
