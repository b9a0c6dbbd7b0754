"""The command line of the serving tier: validates its files and calls its operator API."""
