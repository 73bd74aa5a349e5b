"""Replicated log of the control VMs."""
