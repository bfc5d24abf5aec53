//! Integer arguments and the async runtime that the trials share.

use clap::{Arg, ArgMatches, value_parser};

/// Returns an optional argument `--name` that takes an unsigned integer.
pub(crate) fn integer_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Returns the value of an argument made by [`integer_arg`]; 0 if the command has no such argument.
pub(crate) fn integer_value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

/// Runs a trial to completion on a new multi-threaded runtime.
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
