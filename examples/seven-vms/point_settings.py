"""Prints a settings file with its platform addresses replaced by those of running stand-ins.

Usage: `point_settings.py SETTINGS.toml ADDRESSES.json`.
"""

import json
import pathlib
import sys
import tomllib

import tomli_w


def main() -> None:
    """Read the files named on the command line and print the settings."""
    settings = tomllib.loads(pathlib.Path(sys.argv[1]).read_text())
    addresses = json.loads(pathlib.Path(sys.argv[2]).read_text())
    domain = settings["vm"]["failure_domain"]
    settings["platform"]["log_url"] = f"http://{addresses['log'][domain]}"
    settings["platform"]["vm_list_url"] = f"http://{addresses['vm_list'][domain]}"
    print(tomli_w.dumps(settings))


if __name__ == "__main__":
    main()
