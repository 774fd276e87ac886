"""Decision core of fireflywharf: no socket, file, clock or timer."""
