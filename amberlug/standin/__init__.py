"""Stand-ins for clients, partners and the platform, and a checker that reads only their wires."""
