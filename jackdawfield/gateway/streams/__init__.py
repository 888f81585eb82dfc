"""Read streams of events."""
