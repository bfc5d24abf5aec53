//! `sardinepin ctl`: calls the administration API from an operator's terminal.

mod client;
mod command;
mod failure;
mod order;
mod show;
mod wait;

use std::process::ExitCode;

use anyhow::Context;
use clap::ArgMatches;
use sardinepin_common::Revision;
use serde_json::Value;

pub use command::ctl_command;

use client::Client;
use failure::Failure;
use order::Order;
use show::show;
use wait::wait_for;

#[cfg(test)]
mod tests;

/// Carries out what the arguments ask for, prints the result and returns the exit code.
///
/// The code is 0 if all went well, 1 if the call was turned down or could not be made, 2 for
/// arguments or files that are not in order, 3 for a conflict, 4 if a change may have taken effect
/// and 5 if not every live node had it in time.
///
/// # Errors
///
/// Returns an error if the runtime cannot be started.
pub fn run(given: &ArgMatches) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime cannot be started")?;
    let json = given.get_flag("json");
    match runtime.block_on(carry_out(given, json)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(failure) => {
            failure.print(json);
            Ok(ExitCode::from(failure.code()))
        }
    }
}

async fn carry_out(given: &ArgMatches, json: bool) -> Result<(), Failure> {
    let client = Client::new(given)?;
    let order = Order::read(given)?;
    let answer = client.carry_out(&order).await?;
    if json {
        println!("{answer}");
    } else {
        print!("{}", show(&order, &answer)?);
    }
    match command::wait_ms(given) {
        Some(limit) => {
            let revision = revision_of(&answer);
            wait_for(&client, revision, limit, json).await
        }
        None => Ok(()),
    }
}

/// Returns the revision from which a change is in force; of several, the last.
fn revision_of(answer: &Value) -> Revision {
    let of = |one: &Value| one["revision"].as_u64().unwrap_or_default();
    let newest = match answer {
        Value::Array(items) => items.iter().map(of).max().unwrap_or_default(),
        one => of(one),
    };
    Revision(newest)
}
