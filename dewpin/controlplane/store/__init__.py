"""One store: turns and budget ledgers on disk, and the copying of records when the store view changes."""
