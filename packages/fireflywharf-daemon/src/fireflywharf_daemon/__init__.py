"""Entry VM daemon of fireflywharf."""
