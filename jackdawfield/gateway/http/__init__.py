"""Carry HTTP/1.1 towards callers, backend servers and the store."""
