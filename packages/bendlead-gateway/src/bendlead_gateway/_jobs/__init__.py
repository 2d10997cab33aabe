"""Keep batch jobs, run their items in idle places, show their results."""
