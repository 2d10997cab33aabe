"""What a process believes of configuration, engines and peers."""
