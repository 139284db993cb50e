"""Roll-outs: moves a service to a new version of its upstreams, with a canary stage.

Pure decision logic without threads, sockets, clocks or platform access; times are
passed in.
"""
