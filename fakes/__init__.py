"""Stand-ins for the external systems that papayalink talks to."""
