//! Measurements of the load balancer. Each trial is a subcommand that prints JSON lines.

mod arguments;
mod bounds;
mod control;
mod decide;
mod demo;
mod fleet;
mod journal;
mod maps;
mod outcomes;
mod overload;
mod parts;
mod path;
mod placement;
mod returns;
mod soak;
mod stops;
mod switch;

use anyhow::Context;
use clap::{ArgMatches, Command};
use peak_alloc::PeakAlloc;

/// Counts allocated bytes for the memory figures of the `decide` trial.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// A subcommand and the function that runs it.
struct Trial {
    command: Command,
    run: fn(&ArgMatches) -> anyhow::Result<()>,
}

fn main() -> anyhow::Result<()> {
    let trials = trials();
    let commands = trials.iter().map(|trial| trial.command.clone());
    let matches = Command::new("sardinepin-trials")
        .about("Runs a trial and prints JSON lines")
        .subcommand_required(true)
        .subcommands(commands)
        .get_matches();
    let (name, arguments) = matches.subcommand().context("a trial is required")?;
    let trial = trials
        .iter()
        .find(|trial| trial.command.get_name() == name)
        .context("unknown trial")?;
    (trial.run)(arguments)
}

fn trials() -> Vec<Trial> {
    vec![
        Trial {
            command: bounds::command(),
            run: bounds::run,
        },
        Trial {
            command: control::command(),
            run: control::run,
        },
        Trial {
            command: decide::command(),
            run: decide::run,
        },
        Trial {
            command: demo::command(),
            run: demo::run,
        },
        Trial {
            command: fleet::command(),
            run: fleet::run,
        },
        Trial {
            command: journal::command(),
            run: journal::run,
        },
        Trial {
            command: maps::command(),
            run: maps::run,
        },
        Trial {
            command: outcomes::command(),
            run: outcomes::run,
        },
        Trial {
            command: parts::command(),
            run: parts::run,
        },
        Trial {
            command: path::command(),
            run: path::run,
        },
        Trial {
            command: overload::command(),
            run: overload::run,
        },
        Trial {
            command: placement::command(),
            run: placement::run,
        },
        Trial {
            command: returns::command(),
            run: returns::run,
        },
        Trial {
            command: soak::command(),
            run: soak::run,
        },
        Trial {
            command: stops::command(),
            run: stops::run,
        },
        Trial {
            command: switch::command(),
            run: switch::run,
        },
    ]
}
