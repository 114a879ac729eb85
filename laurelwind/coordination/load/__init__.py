"""Forecasts of when endpoints would serve a request."""
