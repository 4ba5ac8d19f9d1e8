"""Input and output of an instance on the users' platform, all on one event loop."""
