"""Addresses of processes: an IP address and a port."""

import dataclasses
import ipaddress

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IPv4 address and a TCP port; with port 0 the kernel picks one."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as IP:PORT."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse IP:PORT; raise `ValueError` on anything else."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f'{text!r} is not IP:PORT')
    return Address(host=str(ipaddress.IPv4Address(host)), port=int(port))
