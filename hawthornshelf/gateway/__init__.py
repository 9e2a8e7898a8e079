"""Take callers' requests and pass them on to runners, by a table of routes."""
