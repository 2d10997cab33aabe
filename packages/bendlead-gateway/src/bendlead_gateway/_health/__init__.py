"""Circuit breaker for engines, shared by all processes of the fleet."""
