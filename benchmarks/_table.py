"""Benchmark results and their Markdown table."""

import math

import attrs


@attrs.frozen(slots=True, kw_only=True)
class Row:
    """One result of a benchmark.

    Args:
        subject: what was measured.
        target: target value as text; empty or "-" without a target.
        baseline: value of the baseline policy; None if it has no such value.
        present: value of the present version.
        unit: unit of both values.
        met: whether the present value meets the target; None without a target.
    """

    subject: str
    target: str
    baseline: float | None
    present: float
    unit: str
    met: bool | None

    def format_cells(self) -> list[str]:
        """Return the texts of the table cells, with the ratio and the verdict."""
        ratio = "-"
        if self.baseline is not None and self.baseline > 0:
            ratio = f"{self.present / self.baseline:.3g}"
        verdict = {True: "met", False: "missed", None: "-"}[self.met]
        baseline = "-" if self.baseline is None else format_value(self.baseline, self.unit)
        return [
            self.subject,
            self.target,
            baseline,
            format_value(self.present, self.unit),
            ratio,
            verdict,
        ]


HEADINGS = ["subject", "target", "baseline", "present", "ratio", "verdict"]


def format_value(value: float, unit: str) -> str:
    """Return a value with its unit, or "never" for infinity."""
    if math.isinf(value):
        return "never"
    return f"{value:.3g} {unit}".strip() if abs(value) < 1000 else f"{value:.0f} {unit}".strip()


def render_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    cells = [HEADINGS, ["---"] * len(HEADINGS), *(row.format_cells() for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(HEADINGS))]
    return "\n".join(
        "| "
        + " | ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        + " |"
        for line in cells
    )


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which `fraction` of the values lie, or 0 without values."""
    if not values:
        return 0.0
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
