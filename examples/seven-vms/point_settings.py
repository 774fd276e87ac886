"""Prints a settings file with the addresses of the running stand-ins in place of its own."""

import json
import pathlib
import sys
import tomllib

import tomli_w


def main() -> None:
    """Read the settings and the addresses named on the command line, and print the result."""
    settings = tomllib.loads(pathlib.Path(sys.argv[1]).read_text())
    addresses = json.loads(pathlib.Path(sys.argv[2]).read_text())
    domain = settings["vm"]["failure_domain"]
    settings["platform"]["log_url"] = f"http://{addresses['log'][domain]}"
    settings["platform"]["vm_list_url"] = f"http://{addresses['vm_list'][domain]}"
    print(tomli_w.dumps(settings))


if __name__ == "__main__":
    main()
