"""Connect the decisions to the network, the clock and the platform."""
