"""Decision logic and shared types of nutmeglift."""

__version__ = "0.1.0"
