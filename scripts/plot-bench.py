#!/usr/bin/env python3
"""Draws the CSV of the policy benchmark (medlarwayctl bench --csv, from standard input) as SVG files in the given folder."""
import csv
import pathlib
import sys

MEASURES = [("in_deadline", "in time at the crest"), ("short_p99_ms", "p99 of short work, ms"), ("imbalance", "imbalance (CoV)")]
BAR, GAP, LEFT, WIDTH = 14, 4, 150, 400


def draw(title, groups):
    """Returns an SVG bar chart. groups maps each scenario to a list of (policy, mean over the seeds)."""
    highest = max(value for bars in groups.values() for _, value in bars) or 1
    y, parts = 30, []
    for scenario, bars in groups.items():
        parts.append(f'<text x="4" y="{y + 11}" font-weight="bold">{scenario}</text>')
        y += BAR + GAP
        for policy, value in bars:
            parts.append(f'<text x="12" y="{y + 11}">{policy}</text>')
            parts.append(f'<rect x="{LEFT}" y="{y}" width="{WIDTH * value / highest:.1f}" height="{BAR}" fill="#47a"/>')
            parts.append(f'<text x="{LEFT + WIDTH * value / highest + 4:.1f}" y="{y + 11}">{value:.3g}</text>')
            y += BAR + GAP
        y += GAP
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT + WIDTH + 60}" height="{y}" font-family="sans-serif" font-size="11">'
    return "\n".join([head, f'<text x="4" y="16" font-size="13">{title}</text>', *parts, "</svg>\n"])


def main():
    rows = list(csv.DictReader(sys.stdin))
    for measure, title in MEASURES:
        groups = {}
        for row in rows:
            groups.setdefault(row["scenario"], {}).setdefault(row["policy"], []).append(float(row[measure]))
        means = {name: [(policy, sum(v) / len(v)) for policy, v in policies.items()] for name, policies in groups.items()}
        pathlib.Path(sys.argv[1], f"bench-{measure.replace('_', '-')}.svg").write_text(draw(title, means))


main()
