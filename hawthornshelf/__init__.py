"""Serve language models on a fixed fleet of engines."""
