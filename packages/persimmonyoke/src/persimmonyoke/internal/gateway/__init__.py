"""Gateway that passes requests byte for byte to engines and plain services."""
