"""Messages between own processes as bytes on TCP."""
