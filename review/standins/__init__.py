"""Stand-ins for the platform, the workers and the requesters of a case."""
