"""Limit organisations' requests over the whole fleet."""
