"""The command line of the serving tier: checks of its files and calls of its operator's API."""
