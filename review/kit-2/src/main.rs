//! The stand-ins and the clients of the second review's scripts, one case a subcommand.

mod client;
mod deployment;
mod group;
mod http;
mod json;
mod map_case;
mod record;
mod resume_case;
mod route_case;
mod stop_case;
mod store;
mod worker;

use map_case::Trouble;
use std::path::Path;
use std::process::ExitCode;

/// What a run has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-kit-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if !deployment::is_built() {
        eprintln!("the program of the deploy file has not been built");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let ran = match case.as_str() {
        "entry" if trouble => map_case::run(folder, Trouble::Entry),
        "copy" if trouble => map_case::run(folder, Trouble::Copy),
        "entry" | "copy" => map_case::run(folder, Trouble::None),
        "resume" => resume_case::run(folder, trouble),
        "route" => route_case::run(folder, trouble),
        "stop" => stop_case::run(folder, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match ran {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
