//! Parses the command line.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_protocol::Role;

use super::fields::LOG_LEVELS;
use crate::account::Grouping;
use crate::ctl::ctl_command;

/// The default of `--metrics-port`.
const DEFAULT_METRICS_PORT: &str = "9464";

/// The subcommand and its arguments.
#[derive(Debug)]
pub enum Invocation {
    /// Run a role with a YAML settings file.
    Role(RoleArguments),
    /// Run a gateway with a settings file that the platform writes.
    Gateway(PlatformArguments),
    /// Run a rank agent with a settings file that the platform writes.
    Rank(PlatformArguments),
    /// Print the default settings.
    PrintDefault,
    /// Print the policies of a gateway, with the given parameters replaced.
    PrintGatewayPolicy(Vec<String>),
    /// Print the policies of a rank agent, with the given parameters replaced.
    PrintRankPolicy(Vec<String>),
    /// Print what the log files record about the request with this identifier.
    Explain(String, Vec<PathBuf>),
    /// Count the requests in these log files by their outcome.
    Account(Grouping, Vec<PathBuf>),
    /// Validate files without connecting to anything.
    Check(Vec<PathBuf>),
    /// Call the administration API; holds the arguments of `ctl`.
    Ctl(ArgMatches),
}

/// The arguments of a role that reads a YAML settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleArguments {
    /// The role to run.
    pub role: Role,
    /// The path of the settings file, in YAML.
    pub settings_file: PathBuf,
    /// The log level, which overrides `log.level` of the settings file.
    pub log_level: Option<String>,
}

/// The arguments of a role whose settings file the platform writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformArguments {
    /// The path of the settings file, in JSON.
    pub settings_file: PathBuf,
    /// The log level; `info` unless the command line or the environment names another.
    pub log_level: String,
    /// The TCP port of `/metrics`.
    pub metrics_port: u16,
    /// Parameters of policies that differ from the defaults, each in the form `NAME=VALUE`.
    pub policy: Vec<String>,
}

/// Parses a command line, whose first item is the name of the program.
///
/// # Errors
///
/// Returns an error if the arguments are invalid, or if they ask for the help or the version.
pub fn parse_arguments<I, T>(arguments: I) -> Result<Invocation, clap::Error>
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = command().try_get_matches_from(arguments)?;
    Ok(match matches.subcommand() {
        Some(("entry", sub_matches)) => role_invocation(Role::Entry, sub_matches),
        Some(("agent", sub_matches)) => role_invocation(Role::Agent, sub_matches),
        Some(("gateway", sub_matches)) => match sub_matches.get_flag("print-policy") {
            true => Invocation::PrintGatewayPolicy(policy_overrides(sub_matches)),
            false => Invocation::Gateway(platform_arguments(sub_matches)),
        },
        Some(("rank", sub_matches)) => match sub_matches.get_flag("print-policy") {
            true => Invocation::PrintRankPolicy(policy_overrides(sub_matches)),
            false => Invocation::Rank(platform_arguments(sub_matches)),
        },
        Some(("explain", sub_matches)) => {
            let id: Option<&String> = sub_matches.get_one("request");
            Invocation::Explain(id.cloned().unwrap_or_default(), file_paths(sub_matches))
        }
        Some(("account", sub_matches)) => {
            let name: Option<&String> = sub_matches.get_one("by");
            let grouping = name.and_then(|name| Grouping::from_name(name));
            Invocation::Account(grouping.unwrap_or_default(), file_paths(sub_matches))
        }
        Some(("check", sub_matches)) => Invocation::Check(file_paths(sub_matches)),
        Some(("ctl", sub_matches)) => Invocation::Ctl(sub_matches.clone()),
        // Unreachable: the parser requires one of the subcommands above.
        _ => Invocation::Check(Vec::new()),
    })
}

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sardinepin")
        .about("Load balancer for expert-parallel model groups")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role_command("entry").about("Accept requests from callers"))
        .subcommand(
            role_command("agent").about("Run attempts at one upstream and relay its responses"),
        )
        .subcommand(
            platform_command("gateway")
                .about("Accept requests from callers and send them to upstreams over HTTP"),
        )
        .subcommand(
            platform_command("rank").about(
                "Run next to one engine of a rank group and keep the group on one expert map",
            ),
        )
        .subcommand(explain_command())
        .subcommand(account_command())
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
                .help("The settings file, in YAML"),
        )
        .arg(
            Arg::new("print-default")
                .long("print-default")
                .action(ArgAction::SetTrue)
                .help("Print the default settings and exit"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .env("SARDINEPIN_LOG_LEVEL")
                .value_parser(PossibleValuesParser::new(LOG_LEVELS))
                .help("The log level; overrides the one in the settings"),
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
                .required_unless_present("print-policy")
                .help("The settings file that the platform writes, in JSON"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("NAME=VALUE")
                .action(ArgAction::Append)
                .help("Replace a parameter of a policy; may be given several times"),
        )
        .arg(
            Arg::new("print-policy")
                .long("print-policy")
                .action(ArgAction::SetTrue)
                .help("Print the policies and their parameters and exit"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .env("SARDINEPIN_LOG_LEVEL")
                .value_parser(PossibleValuesParser::new(LOG_LEVELS))
                .default_value("info")
                .help("The log level"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .default_value(DEFAULT_METRICS_PORT)
                .help("The port on which metrics are served, under /metrics"),
        )
}

fn platform_arguments(sub_matches: &ArgMatches) -> PlatformArguments {
    let settings: Option<&PathBuf> = sub_matches.get_one("settings");
    let level: Option<&String> = sub_matches.get_one("log-level");
    PlatformArguments {
        // Always present: the settings file is required, and the others have defaults.
        settings_file: settings.cloned().unwrap_or_default(),
        log_level: level.cloned().unwrap_or_default(),
        metrics_port: sub_matches
            .get_one("metrics-port")
            .copied()
            .unwrap_or_default(),
        policy: policy_overrides(sub_matches),
    }
}

fn policy_overrides(sub_matches: &ArgMatches) -> Vec<String> {
    let overrides = sub_matches.get_many("set").into_iter().flatten();
    overrides.cloned().collect()
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Print the history of a request from the logs of several processes")
        .after_help(
            "Exits with 0 if a line names the request, 1 if none does, 2 on any other error.",
        )
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
                .help("The log files"),
        )
}

fn account_command() -> Command {
    Command::new("account")
        .about("Count requests by their outcome and its cause, from the logs of all gateways")
        .after_help(
            "Exits with 0 if a request has ended in the logs, 1 if none has, 2 on any other error.",
        )
        .arg(
            Arg::new("by")
                .long("by")
                .value_name("GROUPING")
                .value_parser(PossibleValuesParser::new(Grouping::ALL.map(Grouping::name)))
                .default_value(Grouping::default().name())
                .help("What the requests are counted by"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true)
                .help("The log files"),
        )
}

fn check_command() -> Command {
    Command::new("check")
        .about("Validate settings, rule lists and deployment files offline")
        .after_help("Exits with 0 if all files are valid and with 2 if any is not.")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true)
                .help("The files; the kind of each is detected from its fields"),
        )
}

fn role_invocation(role: Role, sub_matches: &ArgMatches) -> Invocation {
    let settings_file: Option<&PathBuf> = sub_matches.get_one("config");
    match settings_file {
        Some(settings_file) if !sub_matches.get_flag("print-default") => {
            Invocation::Role(RoleArguments {
                role,
                settings_file: settings_file.clone(),
                log_level: sub_matches.get_one("log-level").cloned(),
            })
        }
        _ => Invocation::PrintDefault,
    }
}

fn file_paths(sub_matches: &ArgMatches) -> Vec<PathBuf> {
    sub_matches
        .get_many("files")
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
