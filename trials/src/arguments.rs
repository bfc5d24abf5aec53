//! Numbers on the command line of a trial.

use clap::{Arg, ArgMatches, value_parser};

/// Returns an argument that takes a number.
pub(crate) fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Returns the number that was given, or its default.
pub(crate) fn given(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

/// Builds the runtime of a trial and runs it to its end.
///
/// # Errors
///
/// Fails if the runtime cannot be built or the trial fails.
pub(crate) fn block_on<T>(trial: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(trial)
}
