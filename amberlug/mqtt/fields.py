"""The fields that MQTT packets are made of: OASIS MQTT 5.0, section 1.5, and 3.1.1, section 1.5."""

from __future__ import annotations

import struct

VARIABLE_MOST = 268_435_455  # largest number in a variable byte integer
_U16, _U32 = struct.Struct(">H"), struct.Struct(">I")


class MqttError(ValueError):
    """What the other side sent breaks the protocol; `code` is the reason code that 5.0 has for it."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


MALFORMED = 0x81


def malformed(text: str) -> MqttError:
    """Say that a packet can't be read."""
    return MqttError(MALFORMED, text)


class Reader:
    """Reads the fields of one packet; `MqttError` where one does not fit into it."""

    def __init__(self, data: bytes) -> None:
        self._data, self._at = data, 0

    @property
    def left(self) -> int:
        """Bytes not yet read."""
        return len(self._data) - self._at

    def take(self, count: int) -> bytes:
        """The next bytes, so many of them."""
        if count > self.left:
            raise malformed("a packet ends within a field")
        self._at += count
        return self._data[self._at - count : self._at]

    def rest(self) -> bytes:
        """All that is left."""
        return self.take(self.left)

    def u8(self) -> int:
        return self.take(1)[0]

    def u16(self) -> int:
        return int(_U16.unpack(self.take(2))[0])

    def u32(self) -> int:
        return int(_U32.unpack(self.take(4))[0])

    def variable(self) -> int:
        """A variable byte integer, in as few bytes as it can have."""
        value = 0
        for count in range(4):
            byte = self.u8()
            value |= (byte & 0x7F) << 7 * count
            if not byte & 0x80:
                if count and not byte:
                    raise malformed("a number with more bytes than it needs")
                return value
        raise malformed("a number of more than four bytes")

    def binary(self) -> bytes:
        return self.take(self.u16())

    def text(self) -> str:
        """A string; one that is no UTF-8, or holds U+0000, breaks the protocol."""
        try:
            value = self.binary().decode("utf-8")
        except UnicodeDecodeError:
            raise malformed("a string that is no UTF-8") from None
        if "\0" in value:
            raise malformed("a string with U+0000")
        return value

    def finish(self) -> None:
        """See that nothing is left."""
        if self.left:
            raise malformed("a packet goes on behind its fields")


def u16(value: int) -> bytes:
    """A two byte integer."""
    return _U16.pack(value)


def u32(value: int) -> bytes:
    """A four byte integer."""
    return _U32.pack(value)


def variable(value: int) -> bytes:
    """A variable byte integer."""
    if not 0 <= value <= VARIABLE_MOST:
        raise ValueError(f"no variable byte integer: {value}")
    out = bytearray()
    while True:
        value, low = value >> 7, value & 0x7F
        out.append(low | 0x80 * (value > 0))
        if not value:
            return bytes(out)


def binary(value: bytes) -> bytes:
    """Binary data with its length."""
    if len(value) > 0xFFFF:
        raise ValueError("binary data of more than 65,535 bytes")
    return _U16.pack(len(value)) + value


def text(value: str) -> bytes:
    """A string with its length."""
    return binary(value.encode())
