//! Plots the figures of the trial.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::fleet::policies::{POLICIES, Policy};
use crate::fleet::summary::Summary;

/// The width and height of the plot, in pixels.
const PLOT_PIXELS: (u32, u32) = (960, 1_080);

/// The limit above which the time to the first event is clipped, in milliseconds.
const FIRST_EVENT_MS_MAX: f64 = 4_000.0;

/// The figures of one policy at one load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Point {
    pub(crate) policy: Policy,
    pub(crate) load: f64,
    pub(crate) summary: Summary,
}

/// One of the charts, which are drawn one below the other.
struct Chart {
    title: &'static str,
    y_max: f64,
    value: fn(&Summary) -> f64,
}

/// Plots goodput, time to the first event, and fairness against load.
///
/// # Errors
///
/// Fails if the plot cannot be written.
pub(crate) fn plot(path: &Path, points: &[Point]) -> Result<()> {
    let root = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(|error| anyhow!("{error}"))?;
    let charts = [
        Chart {
            title: "share of calls answered whole and in time",
            y_max: 1.0,
            value: |summary| summary.good,
        },
        Chart {
            title: "first event, 95th percentile, ms",
            y_max: FIRST_EVENT_MS_MAX,
            value: |summary| (summary.first_p95_ms as f64).min(FIRST_EVENT_MS_MAX),
        },
        Chart {
            title: "worst-served organisation over all",
            y_max: 1.2,
            value: |summary| summary.fair_min.min(1.2),
        },
    ];
    for (area, chart) in root.split_evenly((charts.len(), 1)).iter().zip(charts) {
        draw(area, &chart, points).map_err(|error| anyhow!("{error}"))?;
    }
    root.present().map_err(|error| anyhow!("{error}"))
}

fn draw<'a>(
    area: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    chart: &Chart,
    points: &[Point],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let max_load = points.iter().map(|point| point.load).fold(0.0, f64::max);
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_load, 0.0..chart.y_max)?;
    context
        .configure_mesh()
        .x_desc("load over what the groups can serve")
        .draw()?;
    for (index, policy) in POLICIES.into_iter().enumerate() {
        let policy_points = points.iter().filter(|point| point.policy == policy);
        let line = policy_points.map(|point| (point.load, (chart.value)(&point.summary)));
        let style = Palette99::pick(index).stroke_width(2);
        context
            .draw_series(LineSeries::new(line, style))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    context
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
}
