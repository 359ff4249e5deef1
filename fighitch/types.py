"""Shared type aliases."""

from typing import TypeAlias

AdapterName: TypeAlias = str
CallerName: TypeAlias = str
InstanceName: TypeAlias = str
RequestId: TypeAlias = str
ConnectionId: TypeAlias = int
Labels: TypeAlias = dict[str, str]
# Position in the object API's change sequence.
Revision: TypeAlias = int
# Identifies one start of a process by a random number; only compared for equality.
Incarnation: TypeAlias = int
Seconds: TypeAlias = float
# Headers of an HTTP message, as sent and in order.
Headers: TypeAlias = list[tuple[bytes, bytes]]
Milliseconds: TypeAlias = int
