"""Fakes of the platform services and the backend servers."""
