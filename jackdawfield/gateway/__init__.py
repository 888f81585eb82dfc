"""Serve callers' requests on instances that share only a store of rows."""
