"""An ingest and dispatch service of many machines."""
