"""HTTP as the daemons speak it: the server, clients, bodies, streams of events."""
