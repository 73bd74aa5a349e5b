"""Processor time and memory of processes, from /proc."""

import os

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_MEMORY_FIELDS = ("VmRSS", "RssAnon")


def cpu_seconds(pid: int) -> float:
    """Returns: user and system seconds of a process since its start."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    # utime and stime are fields 14 and 15 of the whole line.
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> dict[str, float]:
    """Returns: resident memory in MB by field of /proc/PID/status."""
    memory = {}
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            name, _, value = line.partition(":")
            if name in _MEMORY_FIELDS:
                memory[name] = round(int(value.split()[0]) * 1024 / 1e6, 1)
    return memory
