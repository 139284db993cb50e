"""The adapter to the users' platform: its files, store and headers.

Everything that the platform names is decoded here, once, into the types of
`lavenderspoke.direct`; nothing outside this folder knows such a name.
"""
