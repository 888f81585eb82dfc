"""Hold decision logic that takes typed events and times, without I/O."""
