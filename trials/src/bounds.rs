//! Simulates nodes that share a bound without knowing one another, and holds them to the words of the users' rules.
//!
//! The product's balancer runs in each sender. Callers, upstreams, agents and the network are models; disturbances are drawn
//! from the seed, several at once. What upstreams receive is recorded and checked over every sliding window.

mod budget_check;
mod day;
mod disturbance;
mod mutant;
mod network;
mod record;
mod sender;
#[cfg(test)]
mod tests;
mod upstreams;
mod world;

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser};
use serde_json::json;

use crate::arguments::{integer_arg, integer_value};
use crate::bounds::budget_check::BudgetRule;
use crate::bounds::day::{Day, DaySettings};
use crate::bounds::mutant::Mutant;
use crate::bounds::world::World;

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("bounds")
        .about("Simulates senders that share a bound, under disturbances drawn from a seed")
        .arg(integer_arg("seed", "1", "The first random seed"))
        .arg(integer_arg("seeds", "1", "The number of seeds"))
        .arg(integer_arg("senders", "32", "The number of senders"))
        .arg(
            Arg::new("mutant")
                .long("mutant")
                .help("A safeguard to leave out, which the check has to notice")
                .default_value("none")
                .value_parser(PossibleValuesParser::new(
                    Mutant::ALL.map(|mutant| mutant.name()),
                )),
        )
}

/// Runs the trial and prints a line for each seed.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let first = integer_value(arguments, "seed");
    let mutant = arguments
        .get_one::<String>("mutant")
        .and_then(|name| Mutant::from_name(name))
        .unwrap_or_default();
    let mut broken = 0;
    for seed in first..first + integer_value(arguments, "seeds") {
        let settings = DaySettings {
            seed,
            senders: integer_value(arguments, "senders").max(1) as usize,
            mutant,
            ..DaySettings::default()
        };
        broken += u64::from(!print_day(&settings));
    }
    anyhow::ensure!(broken == 0, "the rule was broken at {broken} seeds");
    Ok(())
}

/// Simulates a day and prints its line; returns whether the rule was kept.
fn print_day(settings: &DaySettings) -> bool {
    let day = Day::draw(settings);
    let disturbances: Vec<&str> = day.disturbances.iter().map(|one| one.kind.name()).collect();
    let record = World::new(settings, &day).run();
    let worst = BudgetRule::default().worst_window(&record);
    let line = json!({
        "senders": settings.senders,
        "seed": settings.seed,
        "mutant": settings.mutant.name(),
        "requests": record.requests.len(),
        "arrivals": record.arrivals.len(),
        "repeats": record.repeat_times().len(),
        "worst_from_ms": worst.from.0,
        "worst_counted": worst.counted,
        "worst_allowed": worst.allowed,
        "kept": worst.is_kept(),
        "disturbances": disturbances,
    });
    println!("{line}");
    worst.is_kept()
}
