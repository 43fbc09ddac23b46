"""Implementation of persimmonyoke; names here may change without notice."""
