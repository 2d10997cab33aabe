"""A small specification of the ledger and of the outcome rules."""
