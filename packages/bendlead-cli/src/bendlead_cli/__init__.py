"""The bendlead command line, for operators and callers."""
