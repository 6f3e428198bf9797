"""Programs that support the project and are not part of the fleet."""
