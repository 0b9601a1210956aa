"""MQTT support: receives messages from brokers and direct publishers, publishes to partners' topics."""
