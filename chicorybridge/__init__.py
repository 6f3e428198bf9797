"""A proxy fleet for targets that fail grayly."""
