//! `sardinepin ctl`: command-line client of the administration API.

mod arguments;
mod client;
mod error;
mod operation;
mod output;
mod wait;

use std::process::ExitCode;

use anyhow::Context;
use clap::ArgMatches;
use sardinepin_common::Revision;
use serde_json::Value;

pub use arguments::ctl_command;

use client::ApiClient;
use error::CtlError;
use operation::Operation;
use output::render;
use wait::wait_in_force;

#[cfg(test)]
mod tests;

/// Runs the command that the arguments give, prints the result and returns the exit code.
///
/// The exit code is 0 on success, 1 if the call was rejected or could not be made, 2 for invalid
/// arguments or files, 3 for a conflict, 4 if a change may have taken effect and 5 if a change was
/// not in force on every live node in time.
///
/// # Errors
///
/// Returns an error if the runtime cannot be started.
pub fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let json = matches.get_flag("json");
    match runtime.block_on(execute(matches, json)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            error.print(json);
            Ok(ExitCode::from(error.exit_code()))
        }
    }
}

async fn execute(matches: &ArgMatches, json: bool) -> Result<(), CtlError> {
    let client = ApiClient::new(matches)?;
    let operation = Operation::from_arguments(matches)?;
    let response = client.execute(&operation).await?;
    if json {
        println!("{response}");
    } else {
        print!("{}", render(&operation, &response)?);
    }
    match arguments::wait_timeout(matches) {
        Some(timeout) => {
            let revision = change_revision(&response);
            wait_in_force(&client, revision, timeout, json).await
        }
        None => Ok(()),
    }
}

/// Returns the revision from which a change is in force: the highest one of several writes.
fn change_revision(response: &Value) -> Revision {
    let revision = |item: &Value| item["revision"].as_u64().unwrap_or_default();
    let latest = match response {
        Value::Array(items) => items.iter().map(revision).max().unwrap_or_default(),
        item => revision(item),
    };
    Revision(latest)
}
