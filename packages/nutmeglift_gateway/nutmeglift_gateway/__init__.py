"""Router that forwards callers' HTTP requests unchanged to backend servers."""
