"""A clustered message ingest and dispatch service."""
