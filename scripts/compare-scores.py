#!/usr/bin/env python3
"""Compares the newest score of a site in journal/ with the newest one that is committed. Exits with 1 if a day's worth fell by more than noise."""

import json
import pathlib
import subprocess
import sys

NOISE = 0.03  # the bench's own figure for a site


def scores(site, paths):
    """The days of the newest full score of the site among the journal entries: worth by name."""
    newest = None
    for path in paths:
        entry = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        if entry.get("cmd") == "score" and entry.get("site") == site and (newest is None or entry["at"] > newest["at"]):
            newest = entry
    if newest is None:
        return {}
    return {day["name"]: day["G"] for day in newest["days"] if not day["name"].startswith("fresh")}


def main():
    if len(sys.argv) != 2:
        sys.exit("usage: compare-scores.py SITE")
    site = sys.argv[1]
    committed = subprocess.run(["git", "ls-files", "journal/*.json"], check=True, capture_output=True, text=True).stdout.split()
    played = set(map(str, pathlib.Path("journal").glob("*.json"))) - set(committed)
    before, now = scores(site, committed), scores(site, played)
    if not before or not now:
        sys.exit(f"{site}: no {'earlier' if now else 'new'} score to compare")
    fell = []
    for day, worth in now.items():
        change = worth - before.get(day, worth)
        mark = "  FELL" if change < -NOISE else ""
        print(f"{site} {day}: {before.get(day, float('nan')):.3f} -> {worth:.3f}{mark}")
        if mark:
            fell.append(day)
    sys.exit(1 if fell else 0)


if __name__ == "__main__":
    main()
