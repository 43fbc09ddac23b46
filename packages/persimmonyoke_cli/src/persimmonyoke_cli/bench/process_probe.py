"""CPU time, memory and TCP traffic of a child process."""

import ctypes
import os
import socket
import struct
from pathlib import Path

SYS_PIDFD_GETFD = 438
# Offset of bytes_acked and bytes_received in the kernel's struct tcp_info.
TCP_INFO_BYTES_OFFSET = 120
TCP_INFO_SIZE = 136
_LIBC = ctypes.CDLL(None, use_errno=True)


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def pss_mb(pid: int) -> float:
    """Return the proportional set size of a process."""
    rows = Path(f"/proc/{pid}/smaps_rollup").read_text("utf-8").splitlines()
    kilobytes = next(int(row.split()[1]) for row in rows if row.startswith("Pss:"))
    return kilobytes * 1024 / 1e6


class TcpBytes:
    """Count the payload bytes of a child process's TCP connections.

    The kernel keeps the counters per connection, so ``update`` must be called often:
    bytes transferred between the last call and the end of a connection are missed.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._process = os.pidfd_open(pid)
        self._counts: dict[str, tuple[int, int]] = {}

    def update(self) -> tuple[int, int]:
        """Return the bytes sent and received so far."""
        for name in os.listdir(f"/proc/{self._pid}/fd"):
            try:
                link = os.readlink(f"/proc/{self._pid}/fd/{name}")
                if link.startswith("socket:"):
                    self._counts[link] = self._read(int(name))
            except OSError:
                # The child closed the descriptor, or it is not a TCP socket.
                continue
        sent = sum(count[0] for count in self._counts.values())
        received = sum(count[1] for count in self._counts.values())
        return sent, received

    def _read(self, number: int) -> tuple[int, int]:
        copy = _LIBC.syscall(SYS_PIDFD_GETFD, self._process, number, 0)
        if copy < 0:
            raise OSError(ctypes.get_errno(), "pidfd_getfd failed")
        with socket.socket(fileno=copy) as sock:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return struct.unpack_from("QQ", info, TCP_INFO_BYTES_OFFSET)

    def close(self) -> None:
        """Close the pidfd of the child process."""
        os.close(self._process)
