"""MQTT on the relay's core: from a broker, from publishers without one, and to topics of partners."""
