"""Stand-ins of the systems that rhubarbshed talks to, for trial runs and tests."""
