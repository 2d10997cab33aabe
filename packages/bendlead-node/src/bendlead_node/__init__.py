"""The bendleadd process."""
