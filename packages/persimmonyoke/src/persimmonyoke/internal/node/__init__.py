"""Assembly of the processes from the slices."""
