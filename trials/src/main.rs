//! Trials that print one JSON line a run.

use clap::Command;
use peak_alloc::PeakAlloc;

mod control;
mod decide;

/// Counts the bytes that are allocated.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("sardinepin-trials")
        .about("Trials that print one JSON line a run")
        .subcommand_required(true)
        .subcommand(control::command())
        .subcommand(decide::command())
        .get_matches();
    match matches.subcommand() {
        Some((control::NAME, args)) => control::run(args),
        Some((decide::NAME, args)) => decide::run(args),
        _ => anyhow::bail!("no such trial"),
    }
}
