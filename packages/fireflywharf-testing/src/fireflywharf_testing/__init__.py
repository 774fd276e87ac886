"""Stand-ins for the platform interfaces of fireflywharf."""
