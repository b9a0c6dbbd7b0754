"""The decisions on the bench's wire, marsh-c21d."""
