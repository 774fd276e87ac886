"""MessagePack codec for a fixed set of attrs classes, tagged by class name."""

from collections.abc import Sequence
from typing import Any

import msgspec

from ._positional import PositionalForm


class UnknownTypeError(ValueError):
    """The tag names a type unknown to this version; the reader must skip the data."""


class UndecodableError(ValueError):
    """The bytes are damaged or do not match the tagged type."""


class TaggedCodec:
    """Encodes and decodes objects of the given classes.

    Args:
        types: attrs classes; their names are the tags, so they are part of the format.
        positional: classes that are encoded without field names, which about halves the size of
            small messages. Both forms are decoded.

    Example:
        >>> from fireflywharf_core.resources import ResourceVector
        >>> codec = TaggedCodec([ResourceVector])
        >>> codec.decode(codec.encode(ResourceVector(1, 2, 3)))
        ResourceVector(processors_millicores=1, memory_mb=2, accelerators_count=3)
    """

    def __init__(self, types: Sequence[type], positional: Sequence[type] = ()) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._decoders = {cls.__name__: msgspec.msgpack.Decoder(cls) for cls in types}
        self._positional = {cls.__name__: PositionalForm(cls) for cls in positional}

    def encode(self, value: Any) -> bytes:
        """Return the encoded bytes of `value`."""
        tag = type(value).__name__
        form = self._positional.get(tag)
        return self._encoder.encode((tag, value if form is None else form.to_list(value)))

    def decode(self, data: bytes) -> Any:
        """Return the object that `data` encodes.

        Args:
            data: bytes from `encode`, possibly of a newer version of the program.

        Returns:
            An instance of one of the classes.

        Raises:
            UnknownTypeError: the tag names no known class.
            UndecodableError: the bytes are damaged or do not match the class.
        """
        try:
            tag, raw = self._envelope.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise UndecodableError(str(error)) from error
        decoder = self._decoders.get(tag)
        if decoder is None:
            raise UnknownTypeError(tag)
        form = self._positional.get(tag)
        try:
            if form is not None and _is_array(raw):
                return msgspec.convert(form.to_mapping(msgspec.msgpack.decode(raw)), form.cls)
            return decoder.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, TypeError, RecursionError) as error:
            raise UndecodableError(f"{tag}: {error}") from error


def _is_array(raw: msgspec.Raw) -> bool:
    """Return whether the encoded data is a MessagePack array."""
    first = bytes(raw)[:1]
    return bool(first) and (0x90 <= first[0] <= 0x9F or first[0] in (0xDC, 0xDD))
