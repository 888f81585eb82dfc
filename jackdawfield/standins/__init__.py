"""Implement stand-ins: fakes of platform services and backend servers."""
