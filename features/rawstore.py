"""A store in memory whose records are any bytes, read as from the platform's."""

import base64
import json
import struct

from result import Err, Ok, Result

from lavenderspoke.direct.records import OffsetExpired, RecordBatch, StoreError
from lavenderspoke.platform import store

LENGTH = struct.Struct(">I")


class RawStore:
    """Records of one topic by offset; an entry's feed reads them."""

    def __init__(self):
        self._contents: list[bytes] = []

    def put(self, key: bytes, value: bytes) -> None:
        """Append a record; without a value its key is dropped."""
        self._contents.append(bytes([len(key)]) + key + value)

    def newest(self, topic: str) -> Result[RecordBatch, StoreError]:
        newest: dict[bytes, dict] = {}
        for offset, content in enumerate(self._contents):
            key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = {
                    "key": key.decode(errors="surrogateescape"),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
        page = {"items": list(newest.values()), "end-offset": len(self._contents)}
        decoded = store.decode_page(json.dumps(page).encode())
        return decoded.and_then(
            lambda each: store.decode_newest(each.items, each.end_offset)
        )

    def read(
        self, topic: str, from_offset: int, *, wait_s: float
    ) -> Result[RecordBatch | OffsetExpired, StoreError]:
        contents = self._contents[from_offset:]
        framed = b"".join(LENGTH.pack(len(each)) + each for each in contents)
        head = store.OFFSETS_HEADER.pack(len(self._contents), 0)
        return store.decode_records(head + framed, from_offset)

    def append(self, topic: str, key: str, value: bytes | None) -> Result:
        """Take what an entry writes of itself."""
        if value is None:
            return Err(StoreError(detail="not taken"))
        self.put(key.encode(), value)
        return Ok(None)
