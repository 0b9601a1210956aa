"""The dispatcher: takes messages that are due and calls endpoints, by the design's account."""
