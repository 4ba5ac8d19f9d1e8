"""Tests of rhubarbshed."""
