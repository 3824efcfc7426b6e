"""Gateway instances: servers, change feed, forwarding and tasks."""
