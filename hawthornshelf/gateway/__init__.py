"""Forward callers' requests to runners by a table of routes."""
