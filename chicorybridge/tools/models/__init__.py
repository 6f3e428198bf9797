"""Models of targets, entries and fleets for simulated runs."""
