//! Reports: tables as Markdown for people and as JSON for programs.

use std::fmt::{self, Write};

use serde::Serialize;

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Row label; usually the name of the strategy.
    pub name: String,
    /// One figure per column.
    pub figures: Vec<f64>,
}

/// Direction of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The figure must not exceed the limit.
    AtMost,
    /// The figure must reach the limit.
    AtLeast,
}

/// A bound with the figure that was checked against it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// Description of the bounded figure, with its unit.
    pub name: &'static str,
    /// Whether the limit is a maximum or a minimum.
    pub side: Side,
    /// The limit, inclusive.
    pub limit: f64,
    /// The figure that the run gave.
    pub found: f64,
    /// Whether the figure is within the limit; NaN never is.
    pub holds: bool,
}

impl Bound {
    /// Checks that `found` is at most `limit`.
    pub fn at_most(name: &'static str, found: f64, limit: f64) -> Bound {
        Bound { name, side: Side::AtMost, limit, found, holds: found <= limit }
    }

    /// Checks that `found` is at least `limit`.
    pub fn at_least(name: &'static str, found: f64, limit: f64) -> Bound {
        Bound { name, side: Side::AtLeast, limit, found, holds: found >= limit }
    }
}

/// Result of one measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// Heading in the report.
    pub name: &'static str,
    /// Description of the case.
    pub case: String,
    /// Column headings, with units.
    pub columns: Vec<&'static str>,
    /// One row per strategy, or per strategy and sub-case.
    pub rows: Vec<Row>,
    /// Bounds on the production design; empty if the measure only compares.
    pub bounds: Vec<Bound>,
}

impl Measure {
    /// Returns the figure at a row and column, or `None` if either does not exist.
    pub fn figure(&self, row: &str, column: &str) -> Option<f64> {
        let column = self.columns.iter().position(|name| *name == column)?;
        self.rows.iter().find(|line| line.name == row)?.figures.get(column).copied()
    }
}

/// Results of all measures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the simulated deployment.
    pub deployment: &'static str,
    /// Name of the service whose instance and slot counts were used.
    pub service: &'static str,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Results in the order of the runs.
    pub measures: Vec<Measure>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "## {}, {}, seed {}", self.deployment, self.service, self.seed)?;
        self.measures.iter().try_for_each(|measure| write!(f, "\n{measure}"))
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {}\n\n{}\n", self.name, self.case)?;
        writeln!(f, "| | {} |", self.columns.join(" | "))?;
        writeln!(f, "| --- |{}", " ---: |".repeat(self.columns.len()))?;
        for row in &self.rows {
            let mut line = format!("| {} |", row.name);
            row.figures
                .iter()
                .try_for_each(|figure| write!(line, " {} |", format_figure(*figure)))?;
            writeln!(f, "{line}")?;
        }
        if self.bounds.is_empty() {
            return Ok(());
        }
        writeln!(f, "\n| bound | found | limit | |\n| --- | ---: | ---: | --- |")?;
        self.bounds.iter().try_for_each(|bound| writeln!(f, "{bound}"))
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let side = match self.side {
            Side::AtMost => "at most",
            Side::AtLeast => "at least",
        };
        let outcome = if self.holds { "holds" } else { "**does not hold**" };
        let (found, limit) = (format_figure(self.found), format_figure(self.limit));
        write!(f, "| {} | {found} | {side} {limit} | {outcome} |", self.name)
    }
}

/// Formats whole numbers without decimals and others with two.
fn format_figure(figure: f64) -> String {
    if figure.fract() == 0.0 { format!("{figure:.0}") } else { format!("{figure:.2}") }
}
