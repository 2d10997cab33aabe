"""What both roles share."""
