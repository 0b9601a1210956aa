"""Data types of MQTT packet fields: OASIS MQTT 5.0, section 1.5, and 3.1.1, section 1.5."""

from __future__ import annotations

import struct

MAX_VARIABLE_INT = 268_435_455  # largest value of a variable byte integer
_U16, _U32 = struct.Struct(">H"), struct.Struct(">I")


class MqttError(ValueError):
    """The peer violated the protocol; `code` is the MQTT 5.0 reason code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


MALFORMED = 0x81


def malformed(text: str) -> MqttError:
    """Return the error for a malformed packet."""
    return MqttError(MALFORMED, text)


class Reader:
    """Reads the fields of one packet; raises `MqttError` where a field exceeds it."""

    def __init__(self, data: bytes) -> None:
        self._data, self._at = data, 0

    @property
    def left(self) -> int:
        """Number of unread bytes."""
        return len(self._data) - self._at

    def take(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        if count > self.left:
            raise malformed("packet truncated within a field")
        self._at += count
        return self._data[self._at - count : self._at]

    def rest(self) -> bytes:
        """Read all remaining bytes."""
        return self.take(self.left)

    def u8(self) -> int:
        """Read a one byte integer; raises `MqttError` if the data is too short."""
        return self.take(1)[0]

    def u16(self) -> int:
        """Read a two byte integer; raises `MqttError` if the data is too short."""
        return int(_U16.unpack(self.take(2))[0])

    def u32(self) -> int:
        """Read a four byte integer; raises `MqttError` if the data is too short."""
        return int(_U32.unpack(self.take(4))[0])

    def variable(self) -> int:
        """Read a variable byte integer; it must use the minimum number of bytes."""
        value = 0
        for count in range(4):
            byte = self.u8()
            value |= (byte & 0x7F) << 7 * count
            if not byte & 0x80:
                if count and not byte:
                    raise malformed("variable byte integer is not in its shortest form")
                return value
        raise malformed("variable byte integer is longer than four bytes")

    def binary(self) -> bytes:
        """Read binary data after its two byte length; raises `MqttError` if the data is too short."""
        return self.take(self.u16())

    def text(self) -> str:
        """Read a string; invalid UTF-8 and U+0000 are protocol violations."""
        try:
            value = self.binary().decode("utf-8")
        except UnicodeDecodeError:
            raise malformed("string is not valid UTF-8") from None
        if "\0" in value:
            raise malformed("string contains U+0000")
        return value

    def finish(self) -> None:
        """Check that all bytes were read."""
        if self.left:
            raise malformed("trailing bytes after the last field")


def u16(value: int) -> bytes:
    """Encode a two byte integer."""
    return _U16.pack(value)


def u32(value: int) -> bytes:
    """Encode a four byte integer."""
    return _U32.pack(value)


def variable(value: int) -> bytes:
    """Encode a variable byte integer."""
    if not 0 <= value <= MAX_VARIABLE_INT:
        raise ValueError(f"out of range for a variable byte integer: {value}")
    out = bytearray()
    while True:
        value, low = value >> 7, value & 0x7F
        out.append(low | 0x80 * (value > 0))
        if not value:
            return bytes(out)


def binary(value: bytes) -> bytes:
    """Encode binary data with its length prefix."""
    if len(value) > 0xFFFF:
        raise ValueError("binary data is longer than 65,535 bytes")
    return _U16.pack(len(value)) + value


def text(value: str) -> bytes:
    """Encode a string with its length prefix."""
    return binary(value.encode())
