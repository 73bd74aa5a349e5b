"""Stand-ins that implement the protocol of the platform."""
