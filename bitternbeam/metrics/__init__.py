"""Metrics for operators: counted where each event happens, served on the admin address."""
