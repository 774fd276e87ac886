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
    classify_peer_links,
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
    "classify_peer_links",
    "load_settings",
    "parse_settings",
    "split_address",
]
