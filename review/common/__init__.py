"""Stand-ins and processes that the cases share."""
