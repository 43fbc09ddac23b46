"""Assembly of the entry and controller processes."""
