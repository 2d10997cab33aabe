"""Who is let in, and how many requests of each team."""
