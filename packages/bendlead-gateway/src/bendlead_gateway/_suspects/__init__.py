"""Find the requests under which engines end, and keep them from engines."""
