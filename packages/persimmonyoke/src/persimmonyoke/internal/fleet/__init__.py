"""Fleet state kept in a shared store: replicas, entry hosts and configuration."""
