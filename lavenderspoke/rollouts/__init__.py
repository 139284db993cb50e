"""Roll-outs: moving a service to a new version of its upstreams, judged while it runs.

Pure decisions: no thread, socket, clock or platform. Times are passed in.
"""
