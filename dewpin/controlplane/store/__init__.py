"""One store: turns and budget ledgers on disk, and their copying when the store view changes."""
