"""Linear fits of measured points, and their predictions at other sizes."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# Minimum ``range_factor`` of a measurement.
MIN_RANGE_FACTOR = 8


@dataclass(frozen=True)
class Slope:
    """A line fitted by least squares through points of (size, value).

    Attributes:
        name: Measured quantity.
        size_name: Unit of the sizes.
        unit: Unit of the values.
        points: Measured pairs (size, value).
        command: Command that repeats the measurement.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    command: str = "python -m benchmarks.capacity"

    @property
    def slope(self) -> float:
        """Increase of the value per unit of size."""
        return self._line.slope

    @property
    def intercept(self) -> float:
        """Value at size 0."""
        return self._line.intercept

    @property
    def range_factor(self) -> float:
        """Largest size divided by the smallest one above 0."""
        sizes = [size for size, _ in self.points if size > 0]
        return max(sizes) / min(sizes)

    @property
    def r_squared(self) -> float:
        """Coefficient of determination of the fit; 1 for constant values."""
        values = [value for _, value in self.points]
        mean = statistics.fmean(values)
        total = sum((value - mean) ** 2 for value in values)
        if total == 0:
            return 1.0
        return 1 - sum((self.at(x) - value) ** 2 for x, value in self.points) / total

    @property
    def largest_residual(self) -> float:
        """Largest absolute residual of a point, in the unit of the values."""
        return max(abs(self.at(size) - value) for size, value in self.points)

    def at(self, size: float) -> float:
        """Returns the predicted value at a size."""
        return self.intercept + self.slope * size

    def size_for(self, value: float) -> float:
        """Returns the size at which the line reaches a value.

        A line that does not rise returns infinity.
        """
        if self.slope <= 0:
            return float("inf")
        return (value - self.intercept) / self.slope

    @property
    def _line(self) -> statistics.LinearRegression:
        sizes, values = zip(*self.points, strict=True)
        if len(set(sizes)) < 2:
            raise ValueError(
                f"{self.name}: sizes {sizes} must include at least two values"
            )
        return statistics.linear_regression(sizes, values)


@dataclass(frozen=True)
class Figure:
    """One figure of the capacity page at the design size.

    Attributes:
        role: Process type or platform service.
        quantity: Quantity that the figure states.
        value: Value at the design size.
        unit: Unit of the value.
        target: Largest allowed value; None without a target.
        derivation: Calculation of the value, as text.
        mechanism: Mechanism that bounds or provides the quantity.
        limit: Limit that is reached first, and at what size.
    """

    role: str
    quantity: str
    value: float
    unit: str
    target: float | None
    derivation: str
    mechanism: str = ""
    limit: str = ""

    @property
    def verdict(self) -> str:
        """``met``, ``missed``, or a dash if there is no target."""
        if self.target is None:
            return "-"
        return "met" if self.value <= self.target else "missed"


def rounded(value: float) -> str:
    """Formats a number with three significant digits; from 1,000, as an integer."""
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_table(slopes: Sequence[Slope]) -> str:
    """Returns the slopes as a Markdown table."""
    rows = [
        "| measured | fixed part | slope | sizes | R² | largest residual | command |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in slopes:
        sizes = ", ".join(rounded(size) for size, _ in item.points)
        rows.append(
            f"| {item.name} | {rounded(item.intercept)} {item.unit} | "
            f"{rounded(item.slope)} {item.unit} per {item.size_name} | {sizes} | "
            f"{item.r_squared:.3f} | {rounded(item.largest_residual)} {item.unit} | "
            f"`{item.command}` |"
        )
    return "\n".join(rows)


def figure_table(figures: Sequence[Figure]) -> str:
    """Returns the figures as a Markdown table."""
    rows = [
        "| role | figure | at the size | target | | derivation | mechanism | breaks "
        "first |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for item in figures:
        target = "-" if item.target is None else f"{rounded(item.target)} {item.unit}"
        rows.append(
            f"| {item.role} | {item.quantity} | {rounded(item.value)} {item.unit} | "
            f"{target} | {item.verdict} | {item.derivation} | {item.mechanism} | "
            f"{item.limit} |"
        )
    return "\n".join(rows)
