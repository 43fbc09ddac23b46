"""Gateway that forwards requests byte for byte to engines and plain services."""
