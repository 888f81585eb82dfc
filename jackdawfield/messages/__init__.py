"""Define the typed messages that instances send to each other."""
