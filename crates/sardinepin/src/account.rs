//! `sardinepin account`: counts requests by their outcome and its cause, from the logs of gateways.
//!
//! Each request is counted once, by what became of it at the gateway that had it: a caller that comes back after a refusal has sent
//! a new one.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use sardinepin_common::Millis;

use crate::log_lines;

mod outcome;
mod reader;
mod tally;
#[cfg(test)]
mod tests;

use reader::{Ended, LogReader};
use tally::Tally;

/// The exit code if no request has ended.
const EXIT_EMPTY: u8 = 1;

/// The exit code if a file cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// What requests are counted by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Grouping {
    /// By what became of them and why, in each service and route.
    #[default]
    Cause,
    /// By the second in which they arrived, in each service.
    Second,
    /// By both.
    SecondCause,
}

impl Grouping {
    /// All groupings.
    pub const ALL: [Self; 3] = [Self::Cause, Self::Second, Self::SecondCause];

    /// Returns the name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Cause => "cause",
            Self::Second => "second",
            Self::SecondCause => "second-cause",
        }
    }

    /// Returns the grouping of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|one| one.name() == name)
    }
}

/// Prints an account of the requests that have ended in `files`, as comma-separated values.
///
/// Returns 0 if there is such a request, 1 if there is none, and 2 if a file cannot be read.
#[must_use]
pub fn run(grouping: Grouping, files: &[PathBuf]) -> ExitCode {
    let mut ended = Vec::new();
    for file in files {
        // All lines of a request are in the log of one gateway, so that nothing is kept from one file for the next.
        let mut reader = LogReader::default();
        let read = log_lines::read_file(file, |fields| ended.extend(reader.read(&fields)));
        if let Err(error) = read {
            eprintln!("sardinepin: {}: {error}", file.display());
            return ExitCode::from(EXIT_UNREADABLE);
        }
    }
    if ended.is_empty() {
        eprintln!("sardinepin: no request has ended in these logs");
        return ExitCode::from(EXIT_EMPTY);
    }
    let lines = match grouping {
        Grouping::Cause => by_cause(&ended),
        Grouping::Second => by_second(&ended),
        Grouping::SecondCause => by_second_and_cause(&ended),
    };
    for line in lines {
        println!("{line}");
    }
    ExitCode::SUCCESS
}

/// Returns a line for each service, route and cause, and lines for all services together.
fn by_cause(ended: &[Ended]) -> Vec<String> {
    const ALL: &str = "*";
    let mut counts: BTreeMap<(&str, &str, &str, &str), u64> = BTreeMap::new();
    for request in ended {
        let (result, cause) = request.outcome.labels();
        let own = (request.service.as_str(), request.route.as_str());
        for (service, route) in [(ALL, ALL), own] {
            *counts.entry((service, route, result, cause)).or_default() += 1;
        }
    }
    let total = ended.len() as f64;
    let header = "service,route,result,cause,requests,share_of_all".to_owned();
    let rows = counts.into_iter().map(|(key, count)| {
        let (service, route, result, cause) = key;
        let share = count as f64 / total;
        format!("{service},{route},{result},{cause},{count},{share:.4}")
    });
    std::iter::once(header).chain(rows).collect()
}

/// Returns a line for each second from the arrival of the first request on, and each service.
fn by_second(ended: &[Ended]) -> Vec<String> {
    let first = first_arrival(ended);
    let mut tallies: BTreeMap<(u64, &str), Tally> = BTreeMap::new();
    for request in ended {
        let second = whole_seconds(request.arrived_at.since(first));
        let tally = tallies
            .entry((second, request.service.as_str()))
            .or_default();
        tally.add(request.outcome.result);
    }
    let header = format!("second,service,{}", Tally::HEADER);
    let rows = tallies
        .into_iter()
        .map(|((second, service), tally)| format!("{second},{service},{tally}"));
    std::iter::once(header).chain(rows).collect()
}

/// Returns a line for each second from the arrival of the first request on, each service, route and cause.
fn by_second_and_cause(ended: &[Ended]) -> Vec<String> {
    let first = first_arrival(ended);
    let mut counts: BTreeMap<(u64, &str, &str, &str, &str), u64> = BTreeMap::new();
    for request in ended {
        let second = whole_seconds(request.arrived_at.since(first));
        let (service, route) = (request.service.as_str(), request.route.as_str());
        let (result, cause) = request.outcome.labels();
        let key = (second, service, route, result, cause);
        *counts.entry(key).or_default() += 1;
    }
    let header = "second,service,route,result,cause,requests".to_owned();
    let rows = counts.into_iter().map(|(key, count)| {
        let (second, service, route, result, cause) = key;
        format!("{second},{service},{route},{result},{cause},{count}")
    });
    std::iter::once(header).chain(rows).collect()
}

fn first_arrival(ended: &[Ended]) -> Millis {
    let arrivals = ended.iter().map(|request| request.arrived_at);
    arrivals.min().unwrap_or_default()
}

fn whole_seconds(time: Millis) -> u64 {
    time.0 / 1_000
}
