//! The balancer's decisions alone: their time and memory by the number of upstreams and
//! organisations, fed from fakes at its interface.

mod fakes;
mod slope;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_common::Clock;
use sardinepin_config::Limit;
use sardinepin_decisions::{Event, RequestNumber, Settings, UpstreamId};
use serde::Serialize;

use crate::ALLOCATOR;
use fakes::{Fakes, SERVICE, arrival, digest, infos, load};
use slope::slope;

/// The name of the trial.
pub(crate) const NAME: &str = "decide";

/// How many decisions each figure is the mean of.
const DECISIONS: u64 = 40_000;

/// How many decisions are timed together.
const BATCH: u64 = 200;

/// How many ticks a figure is the mean of.
const TICKS: u64 = 200;

/// How many balancers the bytes of one are the mean of.
const COPIES: usize = 8;

/// The number of the first request after those that fill the upstreams.
const WARM_UP: u64 = 1_000;

/// The prefixes that are remembered while routing by prefix is timed.
const PREFIXES: u64 = 1_000;

#[derive(Debug, Serialize)]
struct Report {
    trial: &'static str,
    seed: u64,
    upstreams: Vec<ByUpstreams>,
    organisations: Vec<ByOrganisations>,
    slopes: Slopes,
}

/// Figures at a number of upstreams; times in microseconds.
#[derive(Debug, Serialize)]
struct ByUpstreams {
    upstreams: u32,
    /// From an arrival to its send.
    route_us: f64,
    /// The same for a call with a prompt prefix.
    route_prefix_us: f64,
    /// The same for a call with an idempotency key.
    route_keyed_us: f64,
    /// From the end of an attempt to the send of a request that waits.
    dispatch_us: f64,
    /// A load report.
    report_us: f64,
    /// A tick with one attempt in flight on each upstream.
    tick_us: f64,
    /// The allocated bytes of all upstreams by their number.
    bytes_per_upstream: f64,
}

/// Figures at a number of organisations, with every upstream full; times in microseconds.
#[derive(Debug, Serialize)]
struct ByOrganisations {
    organisations: u32,
    /// From an arrival to its place in the queue.
    admit_us: f64,
    /// From an arrival to its refusal.
    refuse_us: f64,
    /// A tick while one request of each organisation waits.
    tick_us: f64,
    /// The allocated bytes by the number of organisations, each with one request that waits.
    bytes_waiting: f64,
    /// The same for organisations that are idle and owe or are limited.
    bytes_per_organisation: f64,
    /// The same once idle organisations have been forgotten.
    bytes_forgotten: f64,
}

/// The growth for each upstream or organisation; none with fewer than two sizes.
#[derive(Debug, Serialize)]
struct Slopes {
    route_us: Option<f64>,
    tick_us_by_upstream: Option<f64>,
    bytes_by_upstream: Option<f64>,
    admit_us: Option<f64>,
    tick_us_by_organisation: Option<f64>,
    bytes_by_organisation: Option<f64>,
}

/// Describes the trial's command line.
pub(crate) fn command() -> Command {
    let sizes = |name: &'static str, help: &'static str, default: [&'static str; 3]| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::Append)
            .value_delimiter(',')
            .value_parser(value_parser!(u32).range(1..))
            .default_values(default)
    };
    Command::new(NAME)
        .about("Times the balancer's decisions and counts its memory")
        .arg(sizes(
            "upstreams",
            "Numbers of upstreams",
            ["16", "200", "2200"],
        ))
        .arg(sizes(
            "orgs",
            "Numbers of organisations",
            ["10", "1000", "13000"],
        ))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
}

/// Runs the trial and prints its report.
pub(crate) fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let sizes = |name: &str| -> Vec<u32> {
        args.get_many(name)
            .map(|found| found.copied().collect())
            .unwrap_or_default()
    };
    let upstreams = sizes("upstreams")
        .into_iter()
        .map(|count| by_upstreams(seed, count));
    let upstreams: Vec<ByUpstreams> = upstreams.collect();
    let organisations = sizes("orgs")
        .into_iter()
        .map(|count| by_organisations(seed, count));
    let organisations: Vec<ByOrganisations> = organisations.collect();
    let report = Report {
        trial: NAME,
        seed,
        slopes: slopes(&upstreams, &organisations),
        upstreams,
        organisations,
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

fn slopes(upstreams: &[ByUpstreams], organisations: &[ByOrganisations]) -> Slopes {
    let by_upstream = |value: fn(&ByUpstreams) -> f64| {
        slope(
            upstreams
                .iter()
                .map(|one| (f64::from(one.upstreams), value(one))),
        )
    };
    let by_organisation = |value: fn(&ByOrganisations) -> f64| {
        let points = organisations.iter();
        slope(points.map(|one| (f64::from(one.organisations), value(one))))
    };
    Slopes {
        route_us: by_upstream(|one| one.route_us),
        tick_us_by_upstream: by_upstream(|one| one.tick_us),
        bytes_by_upstream: by_upstream(|one| one.bytes_per_upstream * f64::from(one.upstreams)),
        admit_us: by_organisation(|one| one.admit_us),
        tick_us_by_organisation: by_organisation(|one| one.tick_us),
        bytes_by_organisation: by_organisation(|one| {
            one.bytes_per_organisation * f64::from(one.organisations)
        }),
    }
}

fn by_upstreams(seed: u64, count: u32) -> ByUpstreams {
    let bytes: usize = (0..COPIES).map(|_| bytes_of_upstreams(seed, count)).sum();
    ByUpstreams {
        upstreams: count,
        route_us: route(seed, count, |_, _| {}),
        route_prefix_us: route(seed, count, |arrival, number| {
            arrival.prefix = Some(digest(number % PREFIXES));
        }),
        route_keyed_us: route(seed, count, |arrival, number| {
            arrival.idempotency_key = Some(digest(number));
        }),
        dispatch_us: dispatch(seed, count),
        report_us: report(seed, count),
        tick_us: tick(seed, count),
        bytes_per_upstream: bytes as f64 / (COPIES as f64 * f64::from(count)),
    }
}

fn bytes_of_upstreams(seed: u64, count: u32) -> usize {
    let before = ALLOCATOR.current_usage();
    let mut fakes = Fakes::new(settings(seed));
    fakes.link(count);
    fakes.effects = Vec::new();
    let after = ALLOCATOR.current_usage();
    after - before
}

/// Returns the mean time of an arrival that is sent at once.
fn route(seed: u64, count: u32, change: impl Fn(&mut sardinepin_decisions::Arrival, u64)) -> f64 {
    let mut fakes = Fakes::new(settings(seed));
    fakes.link(count);
    fakes.report_all(count);
    let clock = Clock::start();
    let mut spent = 0;
    for batch in 0..DECISIONS / BATCH {
        let mut arrivals = Vec::new();
        for number in batch * BATCH..(batch + 1) * BATCH {
            let mut one = arrival(number, fakes.now, 0);
            change(&mut one, number);
            arrivals.push(one);
        }
        let start = clock.now_micros();
        for one in arrivals {
            fakes.feed(Event::Arrived(one));
        }
        spent += clock.now_micros() - start;
        fakes.end_all();
        fakes.now += 1;
    }
    spent as f64 / DECISIONS as f64
}

/// Returns the mean time from an end to the send of what waits.
fn dispatch(seed: u64, count: u32) -> f64 {
    let mut fakes = Fakes::new(full(seed));
    fakes.link(count);
    let waiting = u64::from(count) + BATCH;
    for number in 0..waiting {
        fakes.feed(Event::Arrived(arrival(
            number,
            fakes.now,
            number as u32 % 10,
        )));
    }
    let clock = Clock::start();
    let mut spent = 0;
    let mut next = waiting;
    for _ in 0..DECISIONS / BATCH {
        for _ in 0..BATCH {
            let start = clock.now_micros();
            fakes.end_one();
            spent += clock.now_micros() - start;
            let one = arrival(next, fakes.now, next as u32 % 10);
            next += 1;
            fakes.feed(Event::Arrived(one));
        }
    }
    spent as f64 / DECISIONS as f64
}

fn report(seed: u64, count: u32) -> f64 {
    let mut fakes = Fakes::new(settings(seed));
    fakes.link(count);
    let clock = Clock::start();
    let start = clock.now_micros();
    for number in 0..DECISIONS {
        fakes.feed(Event::Load {
            upstream: UpstreamId(number as u32 % count),
            load: load(number as u32),
        });
    }
    (clock.now_micros() - start) as f64 / DECISIONS as f64
}

fn tick(seed: u64, count: u32) -> f64 {
    let mut fakes = Fakes::new(full(seed));
    fakes.link(count);
    for number in 0..u64::from(count) {
        fakes.feed(Event::Arrived(arrival(number, fakes.now, 0)));
    }
    fakes.mean_tick()
}

fn by_organisations(seed: u64, count: u32) -> ByOrganisations {
    let mut fakes = backlogged(seed);
    let before = ALLOCATOR.current_usage();
    let first = WARM_UP;
    let last = first + u64::from(count);
    for number in first..last {
        let organisation = (number - first) as u32;
        fakes.feed(Event::Arrived(arrival(number, fakes.now, organisation)));
    }
    fakes.effects = Vec::new();
    let waiting = ALLOCATOR.current_usage().saturating_sub(before);
    let idle = bytes_of_idle(seed, count);
    let share = |bytes: usize| bytes as f64 / f64::from(count);
    ByOrganisations {
        organisations: count,
        admit_us: admit(&mut fakes, last, count),
        refuse_us: refuse(&mut fakes, last),
        tick_us: fakes.mean_tick(),
        bytes_waiting: share(waiting),
        bytes_per_organisation: share(idle.remembered),
        bytes_forgotten: share(idle.forgotten),
    }
}

/// The allocated bytes of organisations that wait for nothing.
struct Idle {
    remembered: usize,
    forgotten: usize,
}

/// Lets each organisation come and go, under a rule that limits it, while others wait.
fn bytes_of_idle(seed: u64, count: u32) -> Idle {
    let mut fakes = backlogged(seed);
    let before = ALLOCATOR.current_usage();
    for organisation in 0..count {
        let number = WARM_UP + u64::from(organisation);
        let mut one = arrival(number, fakes.now, organisation);
        one.rate_limit = Some(Limit {
            per_second: 1,
            burst: 2,
        });
        fakes.feed(Event::Arrived(one));
        fakes.feed(Event::HungUp(RequestNumber(number)));
    }
    fakes.effects = Vec::new();
    let remembered = ALLOCATOR.current_usage().saturating_sub(before);
    fakes.now += 2_000;
    fakes.feed(Event::Tick);
    fakes.effects = Vec::new();
    Idle {
        remembered,
        forgotten: ALLOCATOR.current_usage().saturating_sub(before),
    }
}

/// Makes a balancer whose upstreams are all full and where one organisation waits.
fn backlogged(seed: u64) -> Fakes {
    let mut fakes = Fakes::new(full(seed));
    fakes.link(16);
    for number in 0..64 {
        fakes.feed(Event::Arrived(arrival(number, fakes.now, u32::MAX)));
    }
    fakes.effects = Vec::new();
    fakes
}

/// Returns the mean time of an arrival that is queued; it hangs up again.
fn admit(fakes: &mut Fakes, first: u64, organisations: u32) -> f64 {
    let clock = Clock::start();
    let mut spent = 0;
    for batch in 0..DECISIONS / BATCH {
        let numbers = first + batch * BATCH..first + (batch + 1) * BATCH;
        let arrivals: Vec<_> = numbers
            .clone()
            .map(|number| {
                arrival(
                    number,
                    fakes.now,
                    (number % u64::from(organisations)) as u32,
                )
            })
            .collect();
        let start = clock.now_micros();
        for one in arrivals {
            fakes.feed(Event::Arrived(one));
        }
        spent += clock.now_micros() - start;
        for number in numbers {
            fakes.feed(Event::HungUp(RequestNumber(number)));
        }
        fakes.effects.clear();
    }
    spent as f64 / DECISIONS as f64
}

/// Returns the mean time of an arrival whose deadline has passed.
fn refuse(fakes: &mut Fakes, first: u64) -> f64 {
    let arrivals: Vec<_> = (first..first + DECISIONS)
        .map(|number| {
            let mut one = arrival(number, fakes.now, number as u32 % 10);
            one.deadline = sardinepin_common::Millis(fakes.now);
            one
        })
        .collect();
    let clock = Clock::start();
    let start = clock.now_micros();
    for one in arrivals {
        fakes.feed(Event::Arrived(one));
    }
    let spent = clock.now_micros() - start;
    fakes.effects.clear();
    spent as f64 / DECISIONS as f64
}

/// Settings under which no limit is reached.
fn settings(seed: u64) -> Settings {
    let mut settings = Settings {
        zone: fakes::ZONE.to_owned(),
        seed,
        ..Settings::default()
    };
    settings.concurrency.initial = 256;
    settings
}

/// Settings under which each upstream takes one request and every organisation may wait.
fn full(seed: u64) -> Settings {
    let mut settings = settings(seed);
    settings.concurrency.initial = 1;
    settings.concurrency.max = 1;
    settings.queue.class_max = 100_000;
    settings
}

/// Returns the upstreams that the trial describes, for the fakes.
fn described(count: u32) -> Event {
    Event::Upstreams(infos(count, SERVICE))
}
