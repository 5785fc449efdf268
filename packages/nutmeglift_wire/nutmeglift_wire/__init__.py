"""Sockets, platform clients, logs and metrics of nutmeglift processes."""
