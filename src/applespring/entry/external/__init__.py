"""What is believed of the platform and the upstreams, and its sources."""
