"""Transactions with the table service: tickets, ownership, catalogue, removal of old rows."""
