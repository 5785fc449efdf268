"""Forwards callers' HTTP requests to backend servers as they are."""
