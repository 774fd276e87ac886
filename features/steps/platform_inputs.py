"""Valid input from the platform, and changes of it, that several steps share."""

import json

from fireflywharf_daemon.workflows import LogRecord, ReadRecords

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:7000",
    "zone": "d",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 5,
    "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
    "labels": ["a", "r1"],
}
REPORT = {
    "clock_ms": 5,
    "born": 1,
    "running": [["a.0.0.0", 1, "", 5]],
    "finished": [[1, "a.0.0.1", 1, "done", ""]],
}


def encode_with(valid, name, value_text):
    """Return the JSON text of an object with one field replaced by a JSON text."""
    rest = {key: value for key, value in valid.items() if key != name}
    return f'{json.dumps(rest)[:-1]}, "{name}": {value_text}}}'.encode()


def encode_without(valid, name):
    """Return the JSON text of an object without one of its fields."""
    return json.dumps({key: value for key, value in valid.items() if key != name}).encode()


class KeyedStore:
    """Store with one keyed topic that the scenario writes."""

    def __init__(self):
        self.rows = []

    def put(self, key, value):
        """Add a record."""
        self.rows.append((len(self.rows), LogRecord(key, value)))

    async def newest_named(self, name, part=0):
        """Return all records."""
        return ReadRecords(len(self.rows), tuple(self.rows))

    async def read_named(self, name, offset, **limits):
        """Return the records from an offset on."""
        return ReadRecords(len(self.rows), tuple(self.rows[offset:]))
