//! Simulates nodes that share a bound without knowing one another, and holds them to the words of the users' rules.
//!
//! The product's balancer runs in each sender. Callers, upstreams, agents and the network are models; disturbances are drawn
//! from the seed, several at once. What upstreams receive is recorded and checked over every sliding window.

mod agents;
mod budget_check;
mod callers;
mod cold_check;
mod day;
mod disturbance;
mod evacuation_check;
mod event;
mod limit_check;
mod mutant;
mod network;
mod notice;
mod record;
mod sender;
#[cfg(test)]
mod tests;
mod upstreams;
mod withdrawal_check;
mod world;

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser};
use sardinepin_common::Millis;
use sardinepin_protocol::RequestRate;
use serde_json::json;

use crate::arguments::{integer_arg, integer_value};
use crate::bounds::budget_check::BudgetRule;
use crate::bounds::cold_check::ColdSettings;
use crate::bounds::day::{Day, DaySettings, LimitSettings};
use crate::bounds::mutant::Mutant;
use crate::bounds::upstreams::Upstreams;
use crate::bounds::world::World;

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("bounds")
        .about("Simulates senders that share a bound, under disturbances drawn from a seed")
        .arg(integer_arg("seed", "1", "The first random seed"))
        .arg(integer_arg("seeds", "1", "The number of seeds"))
        .arg(integer_arg("senders", "32", "The number of senders"))
        .arg(integer_arg(
            "limit",
            "0",
            "The limit that upstreams name, in thousandths of a request a second; 0 for none",
        ))
        .arg(integer_arg(
            "load",
            "2",
            "The requests for a limited upstream, as a multiple of its limit",
        ))
        .arg(integer_arg(
            "cold",
            "0",
            "The requests a second that a cold rank takes; 0 if none is cold",
        ))
        .arg(integer_arg(
            "cold-load",
            "220",
            "The requests of all callers a second where ranks are cold",
        ))
        .arg(integer_arg(
            "cold-percent",
            "33",
            "The part of the ranks that starts again and is cold, in percent",
        ))
        .arg(integer_arg(
            "seconds",
            "20",
            "How long callers send, in seconds",
        ))
        .arg(
            Arg::new("calm")
                .long("calm")
                .help("Leaves out all disturbances of a day with a limit or with cold ranks")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("withdrawals")
                .long("withdrawals")
                .help("Lets upstreams leave and rest, as only their answers say")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("evacuations")
                .long("evacuations")
                .help("Evacuates availability zones during the day")
                .action(ArgAction::SetTrue),
        )
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
    let rate = integer_value(arguments, "limit");
    let limit = (rate > 0).then(|| LimitSettings {
        rate: RequestRate(u32::try_from(rate).unwrap_or(u32::MAX)),
        load: integer_value(arguments, "load") as f64,
        calm: arguments.get_flag("calm"),
    });
    let per_second = integer_value(arguments, "cold");
    let cold = (per_second > 0).then(|| ColdSettings {
        per_second: per_second as f64,
        load: integer_value(arguments, "cold-load") as f64,
        share: integer_value(arguments, "cold-percent") as f64 / 100.0,
        calm: arguments.get_flag("calm"),
    });
    let mut broken = 0;
    for seed in first..first + integer_value(arguments, "seeds") {
        let settings = DaySettings {
            seed,
            senders: integer_value(arguments, "senders").max(1) as usize,
            mutant,
            length: Millis(integer_value(arguments, "seconds") * 1_000),
            limit,
            withdraws: arguments.get_flag("withdrawals"),
            cold,
            evacuates: arguments.get_flag("evacuations"),
        };
        broken += u64::from(!print_day(&settings));
    }
    anyhow::ensure!(broken == 0, "a rule was broken at {broken} seeds");
    Ok(())
}

/// Simulates a day and prints its line; returns whether the rules were kept.
fn print_day(settings: &DaySettings) -> bool {
    let day = Day::draw(settings);
    let disturbances: Vec<&str> = day.disturbances.iter().map(|one| one.kind.name()).collect();
    let record = World::new(settings, &day).run();
    let budget = BudgetRule::default().worst_window(&record);
    let limit = day
        .limit
        .as_ref()
        .map(|plan| limit_check::worst_window(&record, plan));
    let used = day
        .limit
        .as_ref()
        .map(|plan| limit_check::used_share(&record, plan));
    let cold = day.cold.as_ref();
    let cold_worst = cold.map(|plan| plan.worst_window(&record));
    let fare = cold.map(|plan| plan.fare(&record));
    let late = withdrawal_check::count_broken(&record);
    let (evaded, _) = evacuation_check::count_late(&record, &day, Upstreams::new(&day).zones());
    let is_kept = budget.is_kept()
        && limit.is_none_or(|worst| worst.is_kept())
        && late == 0
        && cold_worst.is_none_or(|worst| worst.is_kept())
        && evaded == 0;
    let line = json!({
        "senders": settings.senders,
        "seed": settings.seed,
        "mutant": settings.mutant.name(),
        "requests": record.requests.len(),
        "arrivals": record.arrivals.len(),
        "repeats": record.repeats_of(0).len(),
        "worst_from_ms": budget.from.0,
        "worst_counted": budget.counted,
        "worst_allowed": budget.allowed,
        "limit": settings.limit.map(|limit| limit.rate.per_second()),
        "load": settings.limit.map(|limit| limit.load),
        "limit_from_ms": limit.map(|worst| worst.from.0),
        "limit_counted": limit.map(|worst| worst.counted),
        "limit_allowed": limit.map(|worst| worst.allowed),
        "limit_used": used,
        "cold": settings.cold.map(|cold| cold.per_second),
        "cold_ms": cold.map(|plan| plan.until.since(plan.from).0),
        "cold_ranks": cold.map(|plan| plan.ranks.len()),
        "cold_counted": cold_worst.map(|worst| worst.counted),
        "cold_allowed": cold_worst.map(|worst| worst.allowed),
        "cold_requests": fare.map(|fare| fare.requests),
        "cold_unsent": fare.map(|fare| fare.unsent),
        "cold_wait_p50_ms": fare.map(|fare| fare.wait_p50.0),
        "cold_wait_p99_ms": fare.map(|fare| fare.wait_p99.0),
        "cold_share": fare.map(|fare| fare.at_cold),
        "permit_requests": record.permit_requests,
        "withdrawn": record.withdrawn.len(),
        "late": late,
        "evacuations": day.evacuations.len(),
        "late_in_zones": evaded,
        "kept": is_kept,
        "disturbances": disturbances,
    });
    println!("{line}");
    is_kept
}
