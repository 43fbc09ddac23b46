"""Authority over the engines of a pool: lease, fencing number and orders."""
