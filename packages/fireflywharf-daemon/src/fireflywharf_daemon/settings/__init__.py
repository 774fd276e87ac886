"""Settings of the daemon, loaded from TOML; all invalid fields are reported at once."""

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
