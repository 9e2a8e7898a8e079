"""Fake the external systems: engines, plain services and the platform."""
