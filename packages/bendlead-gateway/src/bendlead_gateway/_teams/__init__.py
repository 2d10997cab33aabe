"""Authentication, rate limits and fair shares of teams."""
