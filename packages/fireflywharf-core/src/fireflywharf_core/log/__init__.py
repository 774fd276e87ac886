"""Log writer, reader and folds."""
