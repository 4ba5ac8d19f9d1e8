"""Decisions on the standing of members and on which instances exchange frames."""
