"""Settings of the daemon: data, and loading from TOML with every error at once."""

from ._load import load_settings, parse_settings
from ._settings import (
    HttpSettings,
    LinkKind,
    LogSettings,
    MeshPeer,
    MeshSettings,
    MetricsSettings,
    PlatformSettings,
    RoutingSettings,
    SchedulingSettings,
    Settings,
    ShutdownSettings,
    VmSettings,
    link_of_peers,
    split_address,
)

__all__ = [
    "HttpSettings",
    "LinkKind",
    "LogSettings",
    "MeshPeer",
    "MeshSettings",
    "MetricsSettings",
    "PlatformSettings",
    "RoutingSettings",
    "SchedulingSettings",
    "Settings",
    "ShutdownSettings",
    "VmSettings",
    "link_of_peers",
    "load_settings",
    "parse_settings",
    "split_address",
]
