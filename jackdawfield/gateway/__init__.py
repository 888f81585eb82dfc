"""Serves callers' requests on instances that share only a table of rows."""
