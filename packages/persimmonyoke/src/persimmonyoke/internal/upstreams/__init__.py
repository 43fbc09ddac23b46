"""Directory, load view and clients of the upstreams."""
