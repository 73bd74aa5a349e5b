"""The platform's names, decoded once into the types of the project."""
