"""Hold the scripts that demonstrate and measure."""
