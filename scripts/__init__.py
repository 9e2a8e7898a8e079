"""Demonstrate, measure and test the system from the command line."""
