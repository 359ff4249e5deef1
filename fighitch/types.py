"""Shared type aliases."""

from typing import TypeAlias

AdapterName: TypeAlias = str
CallerName: TypeAlias = str
InstanceName: TypeAlias = str
RequestId: TypeAlias = str
# Number of a connection, unique within the process.
ConnectionId: TypeAlias = int
Labels: TypeAlias = dict[str, str]
# Position in the object API's sequence of changes.
Revision: TypeAlias = int
# Random number that identifies one run of a process; compared only for equality.
Incarnation: TypeAlias = int
Seconds: TypeAlias = float
# Headers of an HTTP message, in the order in which they are sent.
Headers: TypeAlias = list[tuple[bytes, bytes]]
Milliseconds: TypeAlias = int
