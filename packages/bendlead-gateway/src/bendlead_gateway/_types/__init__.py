"""Types that the whole gateway and its adapters share."""
