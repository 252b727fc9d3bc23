//! SVG plots for operators: latency by percentile, and region utilization over time.

use std::{fmt, io, path::Path};

use plotters::{drawing::DrawingAreaErrorKind, prelude::*};

use crate::measure::{
    strategy::{Strategy, millis},
    trace::{Trace, Window, quantile},
};

/// Why a plot could not be written.
#[derive(Debug)]
pub enum Error {
    /// The output folder could not be created.
    CreateFolder(io::Error),
    /// The plot could not be drawn or its file not be written.
    Draw(DrawingAreaErrorKind<io::Error>),
}

impl From<DrawingAreaErrorKind<io::Error>> for Error {
    fn from(error: DrawingAreaErrorKind<io::Error>) -> Error {
        Error::Draw(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::CreateFolder(error) => error.fmt(f),
            Error::Draw(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (960, 540);

/// Upper end of the percentile axis, in nines (2 = p99, 3 = p99.9).
const MAX_NINES: f64 = 3.5;

/// Plots latency over percentiles, one line per strategy.
pub fn latency(file: &Path, runs: &[(Strategy, Trace)]) -> Result<(), Error> {
    let lines =
        runs.iter().map(|(strategy, trace)| (strategy.as_str().to_owned(), percentiles(trace)));
    draw(
        file,
        "percentile, number of nines (1 = p90, 2 = p99, 3 = p99.9)",
        "latency, ms",
        lines.collect(),
    )
}

/// Plots each region's utilization and the traffic shares of the first region's callers over time.
pub fn regions(file: &Path, names: &[&str], trace: &Trace) -> Result<(), Error> {
    let in_flight = names.iter().enumerate().map(|(i, name)| {
        let percent = |in_flight: u32, ceiling: u32| match ceiling {
            0 => 0.0,
            ceiling => f64::from(in_flight) * 100.0 / f64::from(ceiling),
        };
        let points = trace.samples.iter().map(|sample| {
            (sample.at.as_nanos() as f64 / 1e9, percent(sample.in_flight[i], sample.ceiling[i]))
        });
        (format!("{name}: utilization, % of the ceiling"), points.collect())
    });
    let shares = names.iter().enumerate().map(|(i, name)| {
        let points = trace.samples.iter().map(|sample| {
            (sample.at.as_nanos() as f64 / 1e9, f64::from(sample.shares_ppm[i]) / 10_000.0)
        });
        (format!("{name}: share, %"), points.collect())
    });
    draw(file, "time, s", "%", in_flight.chain(shares).collect())
}

fn percentiles(trace: &Trace) -> Vec<(f64, f64)> {
    let all = Window::after(std::time::Duration::from_secs(2));
    let latencies = trace.latencies(all, |_| true);
    let steps = (0..=70).map(|i| f64::from(i) * MAX_NINES / 70.0);
    steps.map(|nines| (nines, millis(quantile(&latencies, 1.0 - 10f64.powf(-nines))))).collect()
}

fn draw(file: &Path, x: &str, y: &str, lines: Vec<(String, Vec<(f64, f64)>)>) -> Result<(), Error> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(0.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * 1.05;
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
