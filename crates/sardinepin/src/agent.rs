//! The role `agent`.

use std::process::ExitCode;

use crate::options::Settings;

/// Runs the role until it is told to stop.
///
/// # Errors
///
/// Returns an error if the role cannot be started.
pub async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    anyhow::bail!("{} cannot run the role agent yet", settings.name)
}
