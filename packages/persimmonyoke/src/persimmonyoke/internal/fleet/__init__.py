"""State of a fleet that is kept in a shared store: replicas, hosts, configuration."""
