"""Wire protocol between entries and sidecars: encoding, framing and handshake."""
