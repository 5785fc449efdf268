"""Decisions and shared types of the nutmeglift router."""

__version__ = "0.1.0"
