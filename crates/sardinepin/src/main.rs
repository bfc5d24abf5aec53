//! The one binary: reads the command line and hands over to the library.

use std::process::ExitCode;

use anyhow::Context;
use sardinepin::options::{
    self, Invocation, LogSettings, PlatformArguments, RoleArguments, Settings,
};
use sardinepin::telemetry::{Telemetry, serve as serve_metrics};
use sardinepin::{agent, check, ctl, entry, explain, logs};
use sardinepin_protocol::Role;

/// The exit code for a command line or a file that is not in order.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let invocation = match options::parse_arguments(std::env::args_os()) {
        Ok(invocation) => invocation,
        Err(error) => error.exit(),
    };
    let ended = dispatch(invocation);
    // The last lines say why the process ends.
    logs::flush();
    match ended {
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
        Invocation::Gateway(arguments) => run_single(
            &arguments,
            sardinepin_platform::run_gateway(&arguments.settings_file),
        ),
        Invocation::Rank(arguments) => run_single(
            &arguments,
            sardinepin_platform::run_rank_agent(&arguments.settings_file),
        ),
        Invocation::PrintDefault => {
            print!("{}", options::default_yaml()?);
            Ok(ExitCode::SUCCESS)
        }
        Invocation::Explain(id, files) => Ok(explain::run(&id, &files)),
        Invocation::Check(files) => Ok(check::run(&files)),
        Invocation::Ctl(given) => ctl::run(&given),
    }
}

fn run_role(arguments: &RoleArguments) -> anyhow::Result<ExitCode> {
    let mut settings = match options::load_settings(&arguments.settings_file) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    if let Some(level) = &arguments.log_level {
        settings.log.level.clone_from(level);
    }
    serve(arguments.role, settings)
}

/// Runs a role on one thread: the instances that it is made for have one core or less.
fn run_single(
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
        .context("the runtime cannot be started")?;
    runtime.block_on(async {
        tokio::spawn(serve_metrics(telemetry, arguments.metrics_port));
        role.await
    })
}

fn serve(role: Role, settings: Settings) -> anyhow::Result<ExitCode> {
    logs::start(&settings.log)?;
    Telemetry::install()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("the runtime cannot be started")?;
    runtime.block_on(async {
        match role {
            Role::Entry => entry::run(settings).await,
            Role::Agent => agent::run(settings).await,
        }
    })
}
