"""Serve requests to language models on a fixed fleet of engines."""
