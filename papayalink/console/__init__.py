"""Web console: forms and a JSON API to edit the document."""
