"""Decisions on requests: admission, routing, retries, refusal, quarantine, drain."""
