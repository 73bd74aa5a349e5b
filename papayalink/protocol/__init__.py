"""Messages and wire formats, apart from sockets."""
