//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_protocol::Role;

use super::fields::LEVELS;
use crate::ctl::ctl_command;

/// The port at which metrics are served unless the command line names another.
const METRICS_PORT: &str = "9464";

/// What a command line asks for.
#[derive(Debug)]
pub enum Invocation {
    /// Run a role.
    Role(RoleArguments),
    /// Run a gateway with the settings file of the platform.
    Gateway(PlatformArguments),
    /// Run a rank agent with the settings file of the platform.
    Rank(PlatformArguments),
    /// Print the default settings.
    PrintDefault,
    /// Tell what happened to a request, from the logs in these files.
    Explain(String, Vec<PathBuf>),
    /// Check files offline.
    Check(Vec<PathBuf>),
    /// Call the administration API, with the arguments of `ctl`.
    Ctl(ArgMatches),
}

/// The arguments of a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleArguments {
    /// The role.
    pub role: Role,
    /// The settings file.
    pub settings_file: PathBuf,
    /// The level of the log, in place of the file's.
    pub log_level: Option<String>,
}

/// The arguments of a role whose settings the platform writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformArguments {
    /// The settings file that the platform writes.
    pub settings_file: PathBuf,
    /// The level of the log.
    pub log_level: String,
    /// The port at which metrics are served.
    pub metrics_port: u16,
}

/// Reads a command line, the program's name first.
///
/// # Errors
///
/// Returns the library's error, which also stands for a request for help or the version.
pub fn parse_arguments<I, T>(line: I) -> Result<Invocation, clap::Error>
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = command().try_get_matches_from(line)?;
    Ok(match matches.subcommand() {
        Some(("entry", given)) => role(Role::Entry, given),
        Some(("agent", given)) => role(Role::Agent, given),
        Some(("gateway", given)) => Invocation::Gateway(platform_role(given)),
        Some(("rank", given)) => Invocation::Rank(platform_role(given)),
        Some(("explain", given)) => {
            let id: Option<&String> = given.get_one("request");
            Invocation::Explain(id.cloned().unwrap_or_default(), paths(given))
        }
        Some(("check", given)) => Invocation::Check(paths(given)),
        Some(("ctl", given)) => Invocation::Ctl(given.clone()),
        // The command requires one of the four.
        _ => Invocation::Check(Vec::new()),
    })
}

/// Returns the description of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sardinepin")
        .about("Load balancer for expert-parallel model groups")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role_command("entry").about("Take requests from callers"))
        .subcommand(role_command("agent").about("Stand before one upstream"))
        .subcommand(
            platform_command("gateway")
                .about("Take requests from callers and send them to upstreams over HTTP"),
        )
        .subcommand(
            platform_command("rank")
                .about("Keep a rank group on one expert map, beside one of its engines"),
        )
        .subcommand(explain_command())
        .subcommand(check_command())
        .subcommand(ctl_command())
}

fn role_command(name: &'static str) -> Command {
    Command::new(name)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .env("SARDINEPIN_CONFIG")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("print-default")
                .help("The settings, in YAML"),
        )
        .arg(
            Arg::new("print-default")
                .long("print-default")
                .action(ArgAction::SetTrue)
                .help("Print the default settings and end"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .env("SARDINEPIN_LOG_LEVEL")
                .value_parser(PossibleValuesParser::new(LEVELS))
                .help("The level of the log, in place of the one in the settings"),
        )
}

fn platform_command(name: &'static str) -> Command {
    Command::new(name)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("SARDINEPIN_CONFIG")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The settings file that the platform writes, in JSON"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .env("SARDINEPIN_LOG_LEVEL")
                .value_parser(PossibleValuesParser::new(LEVELS))
                .default_value("info")
                .help("The level of the log"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .default_value(METRICS_PORT)
                .help("The port at which metrics are served, under /metrics"),
        )
}

fn platform_role(given: &ArgMatches) -> PlatformArguments {
    let settings: Option<&PathBuf> = given.get_one("settings");
    let level: Option<&String> = given.get_one("log-level");
    PlatformArguments {
        // Both are there: one is required and the other has a default.
        settings_file: settings.cloned().unwrap_or_default(),
        log_level: level.cloned().unwrap_or_default(),
        metrics_port: given.get_one("metrics-port").copied().unwrap_or_default(),
    }
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Tell what happened to a request, from the logs of several processes")
        .after_help("Ends with 0 if a line names the request, 1 if none does, 2 on misuse.")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("The identifier of the request"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true)
                .help("The logs"),
        )
}

fn check_command() -> Command {
    Command::new("check")
        .about("Check settings, rule lists and deployment files offline")
        .after_help("Ends with 0 if all files are in order and with 2 if one is not.")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true)
                .help("The files; what each one is shows from its fields"),
        )
}

fn role(role: Role, given: &ArgMatches) -> Invocation {
    let config: Option<&PathBuf> = given.get_one("config");
    match config {
        Some(config) if !given.get_flag("print-default") => Invocation::Role(RoleArguments {
            role,
            settings_file: config.clone(),
            log_level: given.get_one("log-level").cloned(),
        }),
        _ => Invocation::PrintDefault,
    }
}

fn paths(given: &ArgMatches) -> Vec<PathBuf> {
    given
        .get_many("files")
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
