"""Direct dispatch: entries that send to upstreams themselves, without agents.

`catalog` says what is served, `scheduler` who goes next and where, `quota` and
`sharing` what entries owe each other; `exchange`, `requests` and `app` carry it
out. Nothing here knows how a platform spells its files or headers.
"""
