"""Tests of nutmeglift."""
