"""The thin entry: callers in, endpoint processes behind."""
