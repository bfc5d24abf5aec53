//! The cases of the review that are scripts: `review-kit CASE FOLDER`.
//!
//! Each case starts gateways with the command of the deploy file in front of stand-ins for the store and the workers, and writes
//! what was sent, answered and run into `record.txt`. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
//! the case could not run. With `TROUBLE=0` it does the same without the disruption.

mod crowd;
mod departed;
mod deployment;
mod http;
mod memory;
mod plain_crash;
mod popular_part;
mod record;
mod rewritten;
mod slow_reader;
mod store;
mod truncated;
mod watchdog;
mod workers;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has seen.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "worker") {
        return truncated::run_worker(&arguments[2..]);
    }
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("review-kit CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    watchdog::start();
    let result = Record::create(Path::new(folder)).and_then(|record| {
        record.line(&format!("case {case}, trouble {trouble}"));
        let verdict = match case.as_str() {
            "crowd" => crowd::run(&record, trouble),
            "memory" => memory::run(&record, trouble),
            "departed" => departed::run(&record, trouble),
            "plain-crash" => plain_crash::run(&record, trouble),
            "popular-part" => popular_part::run(&record, trouble),
            "new-part" => plain_crash::run_streams(&record, trouble),
            "truncated" => truncated::run(&record, trouble),
            "slow-reader" => slow_reader::run(&record, trouble),
            "rewritten" => rewritten::run(&record, trouble),
            _ => Err(std::io::Error::other("no such case")),
        }?;
        match &verdict {
            Verdict::Held => record.line("verdict: the rule held"),
            Verdict::Broken(why) => record.line(&format!("verdict: broken: {why}")),
        };
        Ok(verdict)
    });
    match result {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(why)) => {
            println!("broken: {why}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
