"""Store batch jobs, run their items in free slots and serve results."""
