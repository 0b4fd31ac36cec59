"""Client of Consul's HTTP API: queries, the watch of a service, and the root's registration."""
