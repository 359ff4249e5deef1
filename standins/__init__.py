"""Small stand-ins for the systems that fighitch is connected to."""
