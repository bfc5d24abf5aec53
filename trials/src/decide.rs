//! Measures the balancer in isolation: the time of its decisions and its memory, by the number of
//! upstreams and organisations.

mod harness;
mod slope;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_common::Clock;
use sardinepin_config::Limit;
use sardinepin_decisions::{Event, RequestNumber, Settings, UpstreamId};
use serde::Serialize;

use crate::ALLOCATOR;
use harness::{Harness, SERVICE, digest_of, load_report, new_arrival, upstream_infos};
use slope::slope;

/// The name of the subcommand, also written to the JSON line.
pub(crate) const NAME: &str = "decide";

/// The number of decisions that each figure is the mean of.
const DECISIONS_PER_FIGURE: u64 = 40_000;

/// The number of decisions that are timed together.
const BATCH_DECISIONS: u64 = 200;

/// The number of ticks that each figure is the mean of.
const TICKS_PER_FIGURE: u64 = 200;

/// The number of balancers that the memory of one is the mean of.
const BALANCER_COPIES: usize = 8;

/// The number of the first request after those that saturate the upstreams.
const FIRST_TIMED_REQUEST: u64 = 1_000;

/// The number of distinct prompt prefixes while routing by prefix is timed.
const DISTINCT_PREFIXES: u64 = 1_000;

#[derive(Debug, Serialize)]
struct Report {
    trial: &'static str,
    seed: u64,
    upstreams: Vec<ByUpstreams>,
    organisations: Vec<ByOrganisations>,
    slopes: Slopes,
}

/// The figures for one number of upstreams; times are in microseconds.
#[derive(Debug, Serialize)]
struct ByUpstreams {
    upstreams: u32,
    /// From the arrival of a request until it is sent.
    route_us: f64,
    /// The same for a call with a prompt prefix.
    route_prefix_us: f64,
    /// The same for a call with an idempotency key.
    route_keyed_us: f64,
    /// From the end of an attempt until a queued request is sent.
    dispatch_us: f64,
    /// The time to handle a load report.
    report_us: f64,
    /// The time of a tick with one attempt in flight on each upstream.
    tick_us: f64,
    /// The allocated bytes of all upstreams, divided by their number.
    bytes_per_upstream: f64,
}

/// The figures for one number of organisations while every upstream is saturated; times are in
/// microseconds.
#[derive(Debug, Serialize)]
struct ByOrganisations {
    organisations: u32,
    /// From the arrival of a request until it is queued.
    admit_us: f64,
    /// From the arrival of a request until it is refused.
    refuse_us: f64,
    /// The time of a tick while one request of each organisation is queued.
    tick_us: f64,
    /// The allocated bytes per organisation, each with one queued request.
    bytes_waiting: f64,
    /// The same for idle organisations whose fair-share or rate-limit state is still kept.
    bytes_per_organisation: f64,
    /// The same once the state of idle organisations has been discarded.
    bytes_forgotten: f64,
}

/// The growth of each figure per upstream or organisation; `None` with fewer than two sizes.
#[derive(Debug, Serialize)]
struct Slopes {
    route_us: Option<f64>,
    tick_us_by_upstream: Option<f64>,
    bytes_by_upstream: Option<f64>,
    admit_us: Option<f64>,
    tick_us_by_organisation: Option<f64>,
    bytes_by_organisation: Option<f64>,
}

/// Returns the trial's command line.
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
        .about("Measures the time of the balancer's decisions and its memory")
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

/// Runs the trial and prints its JSON line.
pub(crate) fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let sizes = |name: &str| -> Vec<u32> {
        args.get_many(name)
            .map(|found| found.copied().collect())
            .unwrap_or_default()
    };
    let upstreams = sizes("upstreams")
        .into_iter()
        .map(|count| measure_upstreams(seed, count));
    let upstreams: Vec<ByUpstreams> = upstreams.collect();
    let organisations = sizes("orgs")
        .into_iter()
        .map(|count| measure_organisations(seed, count));
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
                .map(|figures| (f64::from(figures.upstreams), value(figures))),
        )
    };
    let by_organisation = |value: fn(&ByOrganisations) -> f64| {
        let points = organisations.iter();
        slope(points.map(|figures| (f64::from(figures.organisations), value(figures))))
    };
    Slopes {
        route_us: by_upstream(|figures| figures.route_us),
        tick_us_by_upstream: by_upstream(|figures| figures.tick_us),
        bytes_by_upstream: by_upstream(|figures| {
            figures.bytes_per_upstream * f64::from(figures.upstreams)
        }),
        admit_us: by_organisation(|figures| figures.admit_us),
        tick_us_by_organisation: by_organisation(|figures| figures.tick_us),
        bytes_by_organisation: by_organisation(|figures| {
            figures.bytes_per_organisation * f64::from(figures.organisations)
        }),
    }
}

/// Measures the figures for `count` upstreams.
fn measure_upstreams(seed: u64, count: u32) -> ByUpstreams {
    let bytes: usize = (0..BALANCER_COPIES)
        .map(|_| upstream_bytes(seed, count))
        .sum();
    ByUpstreams {
        upstreams: count,
        route_us: time_route(seed, count, |_, _| {}),
        route_prefix_us: time_route(seed, count, |arrival, number| {
            arrival.prefix = Some(digest_of(number % DISTINCT_PREFIXES));
        }),
        route_keyed_us: time_route(seed, count, |arrival, number| {
            arrival.idempotency_key = Some(digest_of(number));
        }),
        dispatch_us: time_dispatch(seed, count),
        report_us: time_load_report(seed, count),
        tick_us: time_tick(seed, count),
        bytes_per_upstream: bytes as f64 / (BALANCER_COPIES as f64 * f64::from(count)),
    }
}

/// Returns the bytes that one balancer allocates for `count` connected upstreams.
fn upstream_bytes(seed: u64, count: u32) -> usize {
    let before = ALLOCATOR.current_usage();
    let mut harness = Harness::new(unlimited_settings(seed));
    harness.connect_upstreams(count);
    harness.effects = Vec::new();
    let after = ALLOCATOR.current_usage();
    after - before
}

/// Returns the mean time of an arrival that is sent at once; `change` adapts each arrival.
fn time_route(
    seed: u64,
    count: u32,
    change: impl Fn(&mut sardinepin_decisions::Arrival, u64),
) -> f64 {
    let mut harness = Harness::new(unlimited_settings(seed));
    harness.connect_upstreams(count);
    harness.report_all(count);
    let clock = Clock::start();
    let mut elapsed = 0;
    for batch in 0..DECISIONS_PER_FIGURE / BATCH_DECISIONS {
        let mut arrivals = Vec::new();
        for number in batch * BATCH_DECISIONS..(batch + 1) * BATCH_DECISIONS {
            let mut arrival = new_arrival(number, harness.now, 0);
            change(&mut arrival, number);
            arrivals.push(arrival);
        }
        let start = clock.now_micros();
        for arrival in arrivals {
            harness.feed(Event::Arrived(arrival));
        }
        elapsed += clock.now_micros() - start;
        harness.complete_all();
        harness.now += 1;
    }
    elapsed as f64 / DECISIONS_PER_FIGURE as f64
}

/// Returns the mean time from the end of an attempt until a queued request is sent.
fn time_dispatch(seed: u64, count: u32) -> f64 {
    let mut harness = Harness::new(saturated_settings(seed));
    harness.connect_upstreams(count);
    let waiting = u64::from(count) + BATCH_DECISIONS;
    for number in 0..waiting {
        harness.feed(Event::Arrived(new_arrival(
            number,
            harness.now,
            number as u32 % 10,
        )));
    }
    let clock = Clock::start();
    let mut elapsed = 0;
    let mut next = waiting;
    for _ in 0..DECISIONS_PER_FIGURE / BATCH_DECISIONS {
        for _ in 0..BATCH_DECISIONS {
            let start = clock.now_micros();
            harness.complete_oldest();
            elapsed += clock.now_micros() - start;
            let arrival = new_arrival(next, harness.now, next as u32 % 10);
            next += 1;
            harness.feed(Event::Arrived(arrival));
        }
    }
    elapsed as f64 / DECISIONS_PER_FIGURE as f64
}

/// Returns the mean time to handle a load report.
fn time_load_report(seed: u64, count: u32) -> f64 {
    let mut harness = Harness::new(unlimited_settings(seed));
    harness.connect_upstreams(count);
    let clock = Clock::start();
    let start = clock.now_micros();
    for number in 0..DECISIONS_PER_FIGURE {
        harness.feed(Event::Load {
            upstream: UpstreamId(number as u32 % count),
            load: load_report(number as u32),
        });
    }
    (clock.now_micros() - start) as f64 / DECISIONS_PER_FIGURE as f64
}

/// Returns the mean time of a tick with one attempt in flight on each upstream.
fn time_tick(seed: u64, count: u32) -> f64 {
    let mut harness = Harness::new(saturated_settings(seed));
    harness.connect_upstreams(count);
    for number in 0..u64::from(count) {
        harness.feed(Event::Arrived(new_arrival(number, harness.now, 0)));
    }
    harness.mean_tick_micros()
}

/// Measures the figures for `count` organisations.
fn measure_organisations(seed: u64, count: u32) -> ByOrganisations {
    let mut harness = backlogged_harness(seed);
    let before = ALLOCATOR.current_usage();
    let first = FIRST_TIMED_REQUEST;
    let last = first + u64::from(count);
    for number in first..last {
        let organisation = (number - first) as u32;
        harness.feed(Event::Arrived(new_arrival(
            number,
            harness.now,
            organisation,
        )));
    }
    harness.effects = Vec::new();
    let waiting = ALLOCATOR.current_usage().saturating_sub(before);
    let idle_bytes = idle_organisation_bytes(seed, count);
    let per_organisation = |bytes: usize| bytes as f64 / f64::from(count);
    ByOrganisations {
        organisations: count,
        admit_us: time_admission(&mut harness, last, count),
        refuse_us: time_refusal(&mut harness, last),
        tick_us: harness.mean_tick_micros(),
        bytes_waiting: per_organisation(waiting),
        bytes_per_organisation: per_organisation(idle_bytes.retained),
        bytes_forgotten: per_organisation(idle_bytes.discarded),
    }
}

/// The allocated bytes of organisations without requests.
struct IdleBytes {
    /// Before the balancer discards their state.
    retained: usize,
    /// After the balancer has discarded their state.
    discarded: usize,
}

/// Queues and cancels a rate-limited request of each organisation while another organisation waits,
/// and returns the bytes that remain.
fn idle_organisation_bytes(seed: u64, count: u32) -> IdleBytes {
    let mut harness = backlogged_harness(seed);
    let before = ALLOCATOR.current_usage();
    for organisation in 0..count {
        let number = FIRST_TIMED_REQUEST + u64::from(organisation);
        let mut arrival = new_arrival(number, harness.now, organisation);
        arrival.rate_limit = Some(Limit {
            per_second: 1,
            burst: 2,
        });
        harness.feed(Event::Arrived(arrival));
        harness.feed(Event::HungUp(RequestNumber(number)));
    }
    harness.effects = Vec::new();
    let retained = ALLOCATOR.current_usage().saturating_sub(before);
    harness.now += 2_000;
    harness.feed(Event::Tick);
    harness.effects = Vec::new();
    IdleBytes {
        retained,
        discarded: ALLOCATOR.current_usage().saturating_sub(before),
    }
}

/// Returns a balancer with saturated upstreams and queued requests of one organisation.
fn backlogged_harness(seed: u64) -> Harness {
    let mut harness = Harness::new(saturated_settings(seed));
    harness.connect_upstreams(16);
    for number in 0..64 {
        harness.feed(Event::Arrived(new_arrival(number, harness.now, u32::MAX)));
    }
    harness.effects = Vec::new();
    harness
}

/// Returns the mean time of an arrival that is queued. The callers hang up after each batch, so
/// that the queue does not grow.
fn time_admission(harness: &mut Harness, first: u64, organisations: u32) -> f64 {
    let clock = Clock::start();
    let mut elapsed = 0;
    for batch in 0..DECISIONS_PER_FIGURE / BATCH_DECISIONS {
        let numbers = first + batch * BATCH_DECISIONS..first + (batch + 1) * BATCH_DECISIONS;
        let arrivals: Vec<_> = numbers
            .clone()
            .map(|number| {
                new_arrival(
                    number,
                    harness.now,
                    (number % u64::from(organisations)) as u32,
                )
            })
            .collect();
        let start = clock.now_micros();
        for arrival in arrivals {
            harness.feed(Event::Arrived(arrival));
        }
        elapsed += clock.now_micros() - start;
        for number in numbers {
            harness.feed(Event::HungUp(RequestNumber(number)));
        }
        harness.effects.clear();
    }
    elapsed as f64 / DECISIONS_PER_FIGURE as f64
}

/// Returns the mean time of an arrival whose deadline has passed.
fn time_refusal(harness: &mut Harness, first: u64) -> f64 {
    let arrivals: Vec<_> = (first..first + DECISIONS_PER_FIGURE)
        .map(|number| {
            let mut arrival = new_arrival(number, harness.now, number as u32 % 10);
            arrival.deadline = sardinepin_common::Millis(harness.now);
            arrival
        })
        .collect();
    let clock = Clock::start();
    let start = clock.now_micros();
    for arrival in arrivals {
        harness.feed(Event::Arrived(arrival));
    }
    let elapsed = clock.now_micros() - start;
    harness.effects.clear();
    elapsed as f64 / DECISIONS_PER_FIGURE as f64
}

/// Returns settings under which no limit is reached.
fn unlimited_settings(seed: u64) -> Settings {
    let mut settings = Settings {
        zone: harness::ZONE.to_owned(),
        seed,
        ..Settings::default()
    };
    settings.concurrency.initial = 256;
    settings
}

/// Returns settings under which each upstream takes one request and the queue holds a request of
/// every organisation.
fn saturated_settings(seed: u64) -> Settings {
    let mut settings = unlimited_settings(seed);
    settings.concurrency.initial = 1;
    settings.concurrency.max = 1;
    settings.queue.class_max = 100_000;
    settings
}

/// Returns the event that configures `count` upstreams.
fn upstreams_event(count: u32) -> Event {
    Event::Upstreams(upstream_infos(count, SERVICE))
}
