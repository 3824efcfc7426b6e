"""Gateway instances: ports, feed, forwarding and tasks."""
