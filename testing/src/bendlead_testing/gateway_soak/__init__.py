"""Break a fleet of real gateway processes at random and check its promises."""
