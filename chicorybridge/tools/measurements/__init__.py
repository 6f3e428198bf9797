"""Programs that measure costs, slopes and choices."""
