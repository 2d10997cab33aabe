"""Where streams began, so that clients can resume them at any entry."""
