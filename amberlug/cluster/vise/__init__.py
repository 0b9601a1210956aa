"""The log that core machines agree on: it holds fast."""
