"""The data plane of the tier: takes requests of clients and passes them on to receivers under the retry design."""
