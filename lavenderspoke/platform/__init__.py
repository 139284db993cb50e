"""The adapter to the users' platform: its settings file, store and HTTP headers.

All data in the platform's formats is decoded here into the types of
`lavenderspoke.direct`; no module outside this package uses the platform's names.
"""
