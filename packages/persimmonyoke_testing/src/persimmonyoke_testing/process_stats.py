"""Memory, descriptors and queues of a process, as the kernel counts them."""

from pathlib import Path

BYTES_PER_KB = 1_024


def peak_memory_bytes(pid: int) -> int:
    """Return the most resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise AssertionError("the kernel tells no peak of memory")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def queued_bytes(port: int) -> int:
    """Return the unsent and unread bytes of the connections accepted on a port."""
    rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    return sum(_queued(row.split()) for row in rows if _local_port(row) == port)


def _local_port(row: str) -> int:
    return int(row.split()[1].partition(":")[2], 16)


def _queued(fields: list[str]) -> int:
    unsent, _, unread = fields[4].partition(":")
    return int(unsent, 16) + int(unread, 16)
