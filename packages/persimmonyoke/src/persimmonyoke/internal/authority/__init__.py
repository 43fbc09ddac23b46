"""Lease, fencing numbers and orders that control the engines of a pool."""
