//! Turns the entries of a journal into a table of the worth of each day, and a plot of it.
//!
//! An entry is a JSON file that the users' bench writes for each of its runs; a run plays one or more
//! days of a deployment. The table groups entries by deployment and reason, so that the figures of two
//! states of the code stand side by side and nobody copies them by hand.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use anyhow::{Context, anyhow};
use clap::{Arg, ArgMatches, Command, value_parser};
use plotters::prelude::*;
use serde::Deserialize;

/// The width of the plot and the height of one of its rows, in pixels.
const PLOT_WIDTH: u32 = 960;
const ROW_HEIGHT: u32 = 24;

/// An entry; other fields are ignored.
#[derive(Debug, Deserialize)]
struct Entry {
    why: Option<String>,
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

/// A day that was played.
#[derive(Debug, Deserialize)]
struct Day {
    name: String,
    /// What the day is worth; entries call it `G`.
    #[serde(rename = "G")]
    worth: Option<f64>,
    /// The rules that were broken, with how often.
    #[serde(default)]
    rules: serde_json::Map<String, serde_json::Value>,
}

/// What identifies a row of the table: the deployment, the reason and the day.
type RowKey = (String, String, String);

/// The figures of one row.
#[derive(Debug, Default)]
struct Row {
    worth: Vec<f64>,
    broken: usize,
}

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("journal")
        .about("Tabulates the worth of the days in journal entries")
        .arg(
            Arg::new("directory")
                .required(true)
                .help("The directory of the entries")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .default_value("")
                .help("Only entries whose reason contains this text"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .help("The file to write a plot of the means to (SVG)")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the trial and prints the table as Markdown.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let directory: &PathBuf = arguments
        .get_one("directory")
        .context("a directory is required")?;
    let wanted: &String = arguments.get_one("why").context("--why has a default")?;
    let rows = read_rows(directory, wanted)?;
    println!("| deployment | reason | day | plays | mean | least | most | with a rule broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for ((site, why, day), row) in &rows {
        let (least, most) = (least_of(&row.worth), most_of(&row.worth));
        println!(
            "| {site} | {why} | {day} | {} | {:.3} | {least:.3} | {most:.3} | {} |",
            row.worth.len(),
            mean_of(&row.worth),
            row.broken,
        );
    }
    match arguments.get_one::<PathBuf>("plot") {
        Some(path) => plot(path, &rows).map_err(|error| anyhow!("{error}")),
        None => Ok(()),
    }
}

fn read_rows(directory: &Path, wanted: &str) -> anyhow::Result<BTreeMap<RowKey, Row>> {
    let mut rows: BTreeMap<RowKey, Row> = BTreeMap::new();
    let files = std::fs::read_dir(directory)
        .with_context(|| format!("cannot read {}", directory.display()))?;
    for file in files {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let entry: Entry = serde_json::from_str(&text)
            .with_context(|| format!("{} is not a journal entry", path.display()))?;
        let why = entry.why.unwrap_or_default();
        if !why.contains(wanted) {
            continue;
        }
        let site = entry.site.unwrap_or_default();
        for day in entry.days {
            let Some(worth) = day.worth else { continue };
            let row = rows
                .entry((site.clone(), why.clone(), day.name))
                .or_default();
            row.worth.push(worth);
            row.broken += usize::from(!day.rules.is_empty());
        }
    }
    Ok(rows)
}

fn mean_of(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn least_of(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn most_of(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::NEG_INFINITY, f64::max)
}

/// Plots the mean of each row as a bar, with a line from the least to the most.
fn plot(path: &Path, rows: &BTreeMap<RowKey, Row>) -> Result<(), Box<dyn std::error::Error>> {
    let height = ROW_HEIGHT * (rows.len() as u32 + 2);
    let root = SVGBackend::new(path, (PLOT_WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let scale = |worth: f64| (PLOT_WIDTH / 2) as i32 + (worth * f64::from(PLOT_WIDTH / 2)) as i32;
    for (index, ((site, why, day), row)) in rows.iter().enumerate() {
        let top = (ROW_HEIGHT * (index as u32 + 1)) as i32;
        let middle = top + ROW_HEIGHT as i32 / 2;
        let label = format!("{site} {day}: {why}");
        let short: String = label.chars().take(72).collect();
        root.draw(&Text::new(short, (4, top + 6), ("sans-serif", 12)))?;
        let bar = [
            (scale(0.0), top + 4),
            (scale(mean_of(&row.worth)), top + 18),
        ];
        root.draw(&Rectangle::new(bar, BLUE.mix(0.5).filled()))?;
        let range = vec![
            (scale(least_of(&row.worth)), middle),
            (scale(most_of(&row.worth)), middle),
        ];
        root.draw(&PathElement::new(range, BLACK.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}
