//! The `sardinepin` binary: parses the command line and runs a role or a tool.

mod early_reload;

use std::process::ExitCode;

use anyhow::Context;
use sardinepin::options::{
    self, Invocation, LogSettings, PlatformArguments, PolicyError, RoleArguments, Settings,
};
use sardinepin::telemetry::{Telemetry, serve as serve_metrics};
use sardinepin::{account, agent, check, ctl, entry, explain, logs};
use sardinepin_platform::{GatewayPolicy, RankPolicy};
use sardinepin_protocol::Role;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The roles that the platform starts. It may tell them that their settings have changed as soon as they run.
const PLATFORM_ROLES: [&str; 2] = ["gateway", "rank"];

/// The exit code for an invalid configuration file, the same as for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    early_reload::ignore_for(&PLATFORM_ROLES);
    let invocation = match options::parse_arguments(std::env::args_os()) {
        Ok(invocation) => invocation,
        Err(error) => error.exit(),
    };
    let result = dispatch(invocation);
    // Log lines are written asynchronously, and the last ones say why the process exits.
    logs::flush();
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sardinepin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(invocation: Invocation) -> anyhow::Result<ExitCode> {
    match invocation {
        Invocation::Role(arguments) => run_role(&arguments),
        Invocation::Gateway(arguments) => match options::policy_with(&arguments.policy) {
            Ok(policy) => run_single_threaded(
                &arguments,
                sardinepin_platform::run_gateway(&arguments.settings_file, policy),
            ),
            Err(error) => Ok(usage_error(&error)),
        },
        Invocation::Rank(arguments) => match options::policy_with(&arguments.policy) {
            Ok(policy) => run_single_threaded(
                &arguments,
                sardinepin_platform::run_rank_agent(&arguments.settings_file, policy),
            ),
            Err(error) => Ok(usage_error(&error)),
        },
        Invocation::PrintGatewayPolicy(overrides) => print_policy::<GatewayPolicy>(&overrides),
        Invocation::PrintRankPolicy(overrides) => print_policy::<RankPolicy>(&overrides),
        Invocation::PrintDefault => {
            print!("{}", options::default_yaml()?);
            Ok(ExitCode::SUCCESS)
        }
        Invocation::Explain(id, files) => Ok(explain::run(&id, &files)),
        Invocation::Account(grouping, files) => Ok(account::run(grouping, &files)),
        Invocation::Check(files) => Ok(check::run(&files)),
        Invocation::Ctl(arguments) => ctl::run(&arguments),
    }
}

fn usage_error(error: &PolicyError) -> ExitCode {
    eprintln!("sardinepin: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn print_policy<T>(overrides: &[String]) -> anyhow::Result<ExitCode>
where
    T: Default + Serialize + DeserializeOwned,
{
    match options::policy_with::<T>(overrides) {
        Ok(policy) => {
            print!("{}", serde_yaml_ng::to_string(&policy)?);
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => Ok(usage_error(&error)),
    }
}

fn run_role(arguments: &RoleArguments) -> anyhow::Result<ExitCode> {
    let mut settings = match options::load_settings(&arguments.settings_file) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    if let Some(level) = &arguments.log_level {
        settings.log.level.clone_from(level);
    }
    run_multi_threaded(arguments.role, settings)
}

/// Runs a role on a single-threaded runtime, because its instances have one core or less.
fn run_single_threaded(
    arguments: &PlatformArguments,
    role: impl Future<Output = anyhow::Result<ExitCode>>,
) -> anyhow::Result<ExitCode> {
    logs::start(&LogSettings {
        level: arguments.log_level.clone(),
        ..LogSettings::default()
    })?;
    let telemetry = Telemetry::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    runtime.block_on(async {
        tokio::spawn(telemetry.clone().maintain());
        tokio::spawn(serve_metrics(telemetry, arguments.metrics_port));
        role.await
    })
}

fn run_multi_threaded(role: Role, settings: Settings) -> anyhow::Result<ExitCode> {
    logs::start(&settings.log)?;
    Telemetry::install()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    runtime.block_on(async {
        match role {
            Role::Entry => entry::run(settings).await,
            Role::Agent => agent::run(settings).await,
        }
    })
}
