//! Builds the binaries of the workspace and finds them next to the running test or trial.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use anyhow::{Context, Result, anyhow, ensure};

/// The name of the directory with optimised binaries.
const RELEASE: &str = "release";

static BUILD_DIRECTORY: OnceLock<std::result::Result<PathBuf, String>> = OnceLock::new();

/// Returns the path of a binary of this workspace, built with the profile of the running program.
///
/// The first call builds the binaries, so that they exist and are up to date.
///
/// # Errors
///
/// Fails if the build fails or does not produce the binary.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let built = BUILD_DIRECTORY.get_or_init(|| build().map_err(|error| format!("{error:#}")));
    let directory = built.as_ref().map_err(|error| anyhow!("{error}"))?;
    let path = directory.join(name);
    ensure!(path.is_file(), "{} does not exist", path.display());
    Ok(path)
}

fn build() -> Result<PathBuf> {
    let directory = profile_directory()?;
    let target = directory.parent().context("no target directory")?;
    if directory.ends_with(RELEASE) {
        // The build may wait for the lock of another build, and a trial without output seems to
        // hang.
        eprintln!("building the binaries that the trial starts, if they have changed");
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["build", "--quiet", "--locked"])
        .args(["-p", "sardinepin", "-p", "sardinepin-standins"])
        .arg("--target-dir")
        .arg(target);
    if directory.ends_with(RELEASE) {
        command.arg("--release");
    }
    let output = command.output().context("cannot start cargo")?;
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "cargo build failed:\n{errors}");
    Ok(directory)
}

/// Returns the output directory of the profile: that of the running program, or its parent if that
/// is `deps` or `examples`.
fn profile_directory() -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program.parent().context("the program has no directory")?;
    let is_subdirectory = directory.ends_with("deps") || directory.ends_with("examples");
    let profile = if is_subdirectory {
        directory.parent()
    } else {
        Some(directory)
    };
    profile
        .map(Path::to_path_buf)
        .context("the profile has no directory")
}
