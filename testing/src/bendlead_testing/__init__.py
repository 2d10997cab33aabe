"""Stand-ins, fault proxy, model and bench; not shipped."""
