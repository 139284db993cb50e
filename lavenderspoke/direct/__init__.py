"""Direct dispatch: entries that send requests to upstreams themselves, without agents.

`catalog` holds routes and limits, `scheduler` orders requests and selects upstreams,
`quota` and `sharing` divide limits and exchange state between entries; `exchange`,
`handling` and `app` carry requests. Nothing here depends on how a platform encodes its
files or headers.
"""
