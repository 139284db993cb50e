"""A soak that injects faults into real entries from outside and checks promises.

`python -m soak` runs one seed after another. Each starts a store, upstreams and
entries as processes of their own with a fault-injecting proxy between them, lets
callers send without a pause, plays a schedule that the seed draws, and checks
what callers and upstreams saw.
"""
