"""Stand in for the outside systems: engines, plain services and the platform."""
