//! Trials that print one JSON line a run.

use clap::Command;

mod control;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("sardinepin-trials")
        .about("Trials that print one JSON line a run")
        .subcommand_required(true)
        .subcommand(control::command())
        .get_matches();
    match matches.subcommand() {
        Some((control::NAME, args)) => control::run(args),
        _ => anyhow::bail!("no such trial"),
    }
}
