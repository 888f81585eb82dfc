"""Grant the slots of backend servers to the calls of all instances."""
