//! The figures of a trial as a picture.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::fleet::figures::Figures;
use crate::fleet::policies::{POLICIES, Policy};

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (960, 1_080);

/// The most that is drawn of the time to the first event, in milliseconds.
const FIRST_MAX: f64 = 4_000.0;

/// The figures of one policy at one load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Point {
    pub(crate) policy: Policy,
    pub(crate) load: f64,
    pub(crate) figures: Figures,
}

/// One of the charts under each other.
struct Chart {
    title: &'static str,
    top: f64,
    value: fn(&Figures) -> f64,
}

/// Draws goodput, first event and fairness against load.
///
/// # Errors
///
/// Fails if the picture cannot be written.
pub(crate) fn plot(path: &Path, points: &[Point]) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| anyhow!("{error}"))?;
    let charts = [
        Chart {
            title: "share of calls answered whole and in time",
            top: 1.0,
            value: |figures| figures.good,
        },
        Chart {
            title: "first event, 95th percentile, ms",
            top: FIRST_MAX,
            value: |figures| (figures.first_p95 as f64).min(FIRST_MAX),
        },
        Chart {
            title: "worst-served organisation over all",
            top: 1.2,
            value: |figures| figures.fair_min.min(1.2),
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
    let most = points.iter().map(|point| point.load).fold(0.0, f64::max);
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most, 0.0..chart.top)?;
    context
        .configure_mesh()
        .x_desc("load over what the groups can serve")
        .draw()?;
    for (at, policy) in POLICIES.into_iter().enumerate() {
        let mine = points.iter().filter(|point| point.policy == policy);
        let line = mine.map(|point| (point.load, (chart.value)(&point.figures)));
        let style = Palette99::pick(at).stroke_width(2);
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
