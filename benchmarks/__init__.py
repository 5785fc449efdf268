"""Benchmarks of nutmeglift."""
