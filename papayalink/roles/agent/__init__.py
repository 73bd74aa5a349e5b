"""The agent role: a process beside each upstream."""
