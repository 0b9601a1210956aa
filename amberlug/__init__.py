"""The relay on real sockets: it turns what happens on them into the decision module's events and back."""
