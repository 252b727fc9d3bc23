//! Figures as tables that people and programs read.

use std::fmt::{self, Write};

use serde::Serialize;

/// One line of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What the line is about.
    pub name: String,
    /// Its figures, one a column.
    pub figures: Vec<f64>,
}

/// On which side of a limit a figure has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// At most the limit.
    AtMost,
    /// At least the limit.
    AtLeast,
}

/// A bound and what was found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// What is bounded.
    pub name: &'static str,
    /// Which side is right.
    pub side: Side,
    /// The limit.
    pub limit: f64,
    /// What was found.
    pub found: f64,
    /// Whether the bound holds.
    pub holds: bool,
}

impl Bound {
    /// A bound from above.
    pub fn at_most(name: &'static str, found: f64, limit: f64) -> Bound {
        Bound { name, side: Side::AtMost, limit, found, holds: found <= limit }
    }

    /// A bound from below.
    pub fn at_least(name: &'static str, found: f64, limit: f64) -> Bound {
        Bound { name, side: Side::AtLeast, limit, found, holds: found >= limit }
    }
}

/// One measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// Its name.
    pub name: &'static str,
    /// The case, in words.
    pub case: String,
    /// The columns, with units.
    pub columns: Vec<&'static str>,
    /// One line for each way of deciding.
    pub rows: Vec<Row>,
    /// Bounds on the code in use.
    pub bounds: Vec<Bound>,
}

impl Measure {
    /// A figure by line and column.
    pub fn figure(&self, row: &str, column: &str) -> Option<f64> {
        let column = self.columns.iter().position(|name| *name == column)?;
        self.rows.iter().find(|line| line.name == row)?.figures.get(column).copied()
    }
}

/// All measures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: &'static str,
    /// The service whose instances and slots were taken.
    pub service: &'static str,
    /// The seed.
    pub seed: u64,
    /// The measures.
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

/// Two places where they matter, none for whole counts.
fn format_figure(figure: f64) -> String {
    if figure.fract() == 0.0 { format!("{figure:.0}") } else { format!("{figure:.2}") }
}
