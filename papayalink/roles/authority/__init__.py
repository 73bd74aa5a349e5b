"""Control members that hold documents numbered by their operators."""
