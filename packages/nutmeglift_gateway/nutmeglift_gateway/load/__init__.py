"""Decisions under load: who gets room, on which path, and who is refused."""
