//! Command-line arguments of `ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_common::Millis;

/// The default of `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: &str = "10000";

/// The default of `--wait-ms`.
const DEFAULT_WAIT_MS: &str = "30000";

/// Defines the subcommand `ctl` with its arguments.
#[must_use]
pub fn ctl_command() -> Command {
    Command::new("ctl")
        .about("Call the administration API of an entry")
        .after_help(
            "Exit codes: 0 success; 1 rejected or unreachable; 2 invalid arguments or file; \
             3 conflict; 4 the change may have taken effect; 5 not in force on every live node \
             in time.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(address())
        .arg(token_file())
        .arg(timeout())
        .arg(json())
        .subcommand(rules())
        .subcommand(upstream())
        .subcommand(
            Command::new("status")
                .about("Show the nodes, their configuration revisions and the upstreams"),
        )
        .subcommand(quarantine())
        .subcommand(groups())
        .subcommand(zone())
        .subcommand(
            Command::new("apply")
                .about("Write the objects of a deployment file that differ from the stored ones")
                .arg(file("FILE", "The deployment file"))
                .args(wait_arguments()),
        )
}

/// Returns how long to wait for a change to be in force; `None` without `--wait`.
pub(crate) fn wait_timeout(matches: &ArgMatches) -> Option<Millis> {
    let mut inner = matches;
    while let Some((_, next)) = inner.subcommand() {
        inner = next;
    }
    let wait = matches!(inner.try_get_one::<bool>("wait"), Ok(Some(true)));
    let timeout = inner.try_get_one::<u64>("wait-ms").ok().flatten().copied();
    timeout.filter(|_| wait).map(Millis)
}

fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .env("SARDINEPIN_ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8081")
        .help("The address of the administration API")
}

fn token_file() -> Arg {
    Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .env("SARDINEPIN_TOKEN_FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("A file whose first line ends in the token")
}

fn timeout() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MILLISECONDS")
        .value_parser(value_parser!(u64).range(1..))
        .default_value(DEFAULT_TIMEOUT_MS)
        .help("The time limit of a call")
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print JSON")
}

fn rules() -> Command {
    Command::new("rules")
        .about("The rule list")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("get").about("Print the list, in YAML, with its revision"))
        .subcommand(
            Command::new("put")
                .about("Replace the list")
                .arg(file(
                    "FILE",
                    "A rule list, or a deployment file that holds one",
                ))
                .arg(if_match())
                .args(wait_arguments()),
        )
        .subcommand(rules_test())
}

fn rules_test() -> Command {
    let repeatable = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    Command::new("test")
        .about("Show which rule a request matches, and why earlier rules do not match")
        .arg(text("organisation", "NAME", "The organisation").required(true))
        .arg(text("method", "METHOD", "The method").default_value("GET"))
        .arg(text("path", "PATH", "The path").required(true))
        .arg(text(
            "service",
            "NAME",
            "The service; by default, the one that serves the path and model",
        ))
        .arg(text("model", "NAME", "The model that the request names"))
        .arg(repeatable(
            "tag",
            "TAG",
            "A tag of the organisation, instead of those configured",
        ))
        .arg(repeatable("header", "NAME: VALUE", "A header field"))
        .arg(
            Arg::new("rules")
                .long("rules")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Rules to test instead of those in force"),
        )
}

fn upstream() -> Command {
    Command::new("upstream")
        .about("Upstreams")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show all upstreams"))
        .subcommand(
            Command::new("add")
                .about("Add an upstream, or change one with --if-match")
                .arg(name("The upstream's name"))
                .arg(text("service", "NAME", "The service").required(true))
                .arg(text("zone", "ZONE", "The availability zone").required(true))
                .arg(
                    Arg::new("agent")
                        .long("agent")
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .required(true)
                        .help("The address of its agent"),
                )
                .arg(text("group", "NAME", "The rank group"))
                .arg(if_match())
                .args(wait_arguments()),
        )
        .subcommand(change_by_name(
            "drain",
            "Send no new requests to an upstream",
        ))
        .subcommand(change_by_name("retire", "Take an upstream out of use"))
}

fn quarantine() -> Command {
    Command::new("quarantine")
        .about("Requests that crashed upstreams")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show the quarantined digests"))
        .subcommand(
            Command::new("lift")
                .about("Lift the quarantine of a digest")
                .arg(name("The digest")),
        )
}

fn groups() -> Command {
    Command::new("groups")
        .about("Rank groups")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show all rank groups"))
        .subcommand(change_by_name("hold", "Pause the rebalancing of a group"))
        .subcommand(change_by_name(
            "release",
            "Resume the rebalancing of a group",
        ))
}

fn zone() -> Command {
    Command::new("zone")
        .about("Availability zones")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show the evacuated zones"))
        .subcommand(change_by_name(
            "evacuate",
            "Send no new requests to the upstreams of a zone",
        ))
        .subcommand(change_by_name("restore", "End the evacuation of a zone"))
}

fn change_by_name(command: &'static str, about: &'static str) -> Command {
    Command::new(command)
        .about(about)
        .arg(name("The name"))
        .args(wait_arguments())
}

fn name(help: &'static str) -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help(help)
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn file(value: &'static str, help: &'static str) -> Arg {
    Arg::new("file")
        .value_name(value)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

fn if_match() -> Arg {
    Arg::new("if-match")
        .long("if-match")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("Write only if the object has this revision")
}

fn wait_arguments() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the change is in force on every live node"),
        Arg::new("wait-ms")
            .long("wait-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64).range(1..))
            .default_value(DEFAULT_WAIT_MS)
            .help("The time limit of --wait"),
    ]
}
