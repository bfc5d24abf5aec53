//! The arguments of `ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_common::Millis;

/// How long a call may take, in milliseconds.
const TIMEOUT_MS: &str = "10000";

/// How long `--wait` waits, in milliseconds.
const WAIT_MS: &str = "30000";

/// Returns the description of `ctl`.
#[must_use]
pub fn ctl_command() -> Command {
    Command::new("ctl")
        .about("Call the administration API of an entry")
        .after_help(
            "Exit codes: 0 done; 1 turned down or not reached; 2 arguments or a file not in \
             order; 3 conflict; 4 the change may have taken effect; 5 not in force everywhere \
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
        .subcommand(Command::new("status").about("Show nodes, their configuration and upstreams"))
        .subcommand(quarantine())
        .subcommand(groups())
        .subcommand(
            Command::new("apply")
                .about("Write what differs of a deployment file")
                .arg(file("FILE", "The deployment file"))
                .args(waiting()),
        )
}

/// Returns how long to wait for a change to be in force, if that is asked for.
pub(crate) fn wait_ms(given: &ArgMatches) -> Option<Millis> {
    let mut inner = given;
    while let Some((_, next)) = inner.subcommand() {
        inner = next;
    }
    let asked = matches!(inner.try_get_one::<bool>("wait"), Ok(Some(true)));
    let limit = inner.try_get_one::<u64>("wait-ms").ok().flatten().copied();
    limit.filter(|_| asked).map(Millis)
}

fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .env("SARDINEPIN_ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8081")
        .help("The administration API to call")
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
        .default_value(TIMEOUT_MS)
        .help("How long a call may take")
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
                .args(waiting()),
        )
        .subcommand(rules_test())
}

fn rules_test() -> Command {
    let many = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    Command::new("test")
        .about("Show which rule a request meets, and why the earlier ones did not match")
        .arg(text("organisation", "NAME", "The organisation").required(true))
        .arg(text("method", "METHOD", "The method").default_value("GET"))
        .arg(text("path", "PATH", "The path").required(true))
        .arg(text(
            "service",
            "NAME",
            "The service; by path and model, if left out",
        ))
        .arg(text("model", "NAME", "The model that the call names"))
        .arg(many("tag", "TAG", "A tag, in place of those configured"))
        .arg(many("header", "NAME: VALUE", "A header field"))
        .arg(
            Arg::new("rules")
                .long("rules")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Rules to test in place of those in force"),
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
                .args(waiting()),
        )
        .subcommand(named("drain", "Send an upstream no new work"))
        .subcommand(named("retire", "Take an upstream out of use"))
}

fn quarantine() -> Command {
    Command::new("quarantine")
        .about("Requests that crashed upstreams")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show the digests that are held back"))
        .subcommand(
            Command::new("lift")
                .about("Let a digest pass again")
                .arg(name("The digest")),
        )
}

fn groups() -> Command {
    Command::new("groups")
        .about("Rank groups")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Show all rank groups"))
        .subcommand(named("hold", "Stop rebalancing a group"))
        .subcommand(named("release", "Let a group be rebalanced again"))
}

fn named(command: &'static str, about: &'static str) -> Command {
    Command::new(command)
        .about(about)
        .arg(name("The name"))
        .args(waiting())
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
        .help("Only if the object stands at this revision")
}

fn waiting() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until every live node has the change in force"),
        Arg::new("wait-ms")
            .long("wait-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64).range(1..))
            .default_value(WAIT_MS)
            .help("How long to wait"),
    ]
}
