"""Soak test: real router processes, stand-in servers, seeded random faults."""
