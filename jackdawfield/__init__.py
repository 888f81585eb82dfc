"""Schedule agent programs and proxy their calls to backend servers."""
