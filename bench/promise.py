"""Promises that a run under faults is held against."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Promise:
    """What was watched, and how often it was broken."""

    name: str
    chances: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def judge(self, kept: bool, detail: str) -> None:
        """Counts one chance to break the promise."""
        self.chances += 1
        if not kept:
            self.violations.append(detail)

    def format(self) -> str:
        """Returns a line for a terminal."""
        shown = "; ".join(self.violations[:3])
        return (
            f"{self.name:<52}{self.chances:>8} chances"
            f"{len(self.violations):>5} violations  {shown}"
        )
