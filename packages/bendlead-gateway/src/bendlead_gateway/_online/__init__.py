"""Take clients' requests to engines and their answers back."""
