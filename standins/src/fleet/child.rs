//! A child process, its addresses and its output.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sardinepin_common::Millis;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::Command;
use tokio::sync::mpsc::{self, UnboundedSender};

/// The number of output lines that are kept; older ones are discarded.
const MAX_LINES: usize = 400;

/// The time limit for a process to report its address.
const LISTEN_TIMEOUT: Millis = Millis(30_000);

/// The time limit for a process to exit.
const EXIT_TIMEOUT: Millis = Millis(60_000);

/// The maximum number of attempts to start a process whose address is still in use.
const MAX_STARTS: usize = 50;

/// The delay between two such attempts.
const START_RETRY_DELAY: Millis = Millis(100);

/// The latest output lines of a process.
type Lines = Arc<Mutex<VecDeque<String>>>;

/// A process that listens on an address; dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    binary: PathBuf,
    arguments: Vec<String>,
    process: tokio::process::Child,
    pid: Pid,
    addresses: Value,
    address: SocketAddr,
    lines: Lines,
}

impl ChildProcess {
    /// Starts a process and waits until it reports the address that it listens on.
    ///
    /// # Errors
    ///
    /// Fails with the output of the process if it exits or reports no address within the time
    /// limit.
    pub async fn start(binary: &Path, arguments: &[String]) -> Result<Self> {
        let (address_sender, mut address_receiver) = mpsc::unbounded_channel();
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut child = Self::spawn(binary, arguments, unbound, Some(address_sender))?;
        let wait = tokio::time::timeout(LISTEN_TIMEOUT.duration(), address_receiver.recv());
        let Ok(Some(addresses)) = wait.await else {
            // Gives the task that reads the other pipe time to receive the rest of the output.
            let _ = child.process.kill().await;
            tokio::time::sleep(START_RETRY_DELAY.duration()).await;
            let name = binary.display();
            bail!(
                "{name} {arguments:?} did not report an address:\n{}",
                join_lines(&child.lines)
            );
        };
        child.address =
            main_address(&addresses).context("the process reported no valid address")?;
        child.addresses = addresses;
        Ok(child)
    }

    /// Starts a process that reports no address, such as a role whose settings the users' platform
    /// writes; `address` is the one in its settings.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_at(binary: &Path, arguments: &[String], address: SocketAddr) -> Result<Self> {
        Self::spawn(binary, arguments, address, None)
    }

    fn spawn(
        binary: &Path,
        arguments: &[String],
        address: SocketAddr,
        address_sender: Option<UnboundedSender<Value>>,
    ) -> Result<Self> {
        let mut process = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        let pid = process.id().context("the process has exited already")?;
        let lines = Lines::default();
        tokio::spawn(read_output(process.stderr.take(), Arc::clone(&lines), None));
        tokio::spawn(read_output(
            process.stdout.take(),
            Arc::clone(&lines),
            address_sender,
        ));
        Ok(Self {
            binary: binary.to_path_buf(),
            arguments: arguments.to_vec(),
            process,
            pid: Pid::from_raw(i32::try_from(pid)?),
            addresses: Value::Null,
            address,
            lines,
        })
    }

    /// Returns the main address that the process listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns another address that the process reported at its start, such as `admin`.
    #[must_use]
    pub fn named_address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name)?.as_str()?.parse().ok()
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Returns the latest lines of the standard output and standard error.
    #[must_use]
    pub fn recent_output(&self) -> String {
        join_lines(&self.lines)
    }

    /// Kills the process with SIGKILL, unless it has exited, and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub async fn kill(&mut self) -> Result<()> {
        if self.process.try_wait()?.is_none() {
            self.process.kill().await?;
        }
        Ok(())
    }

    /// Returns whether the process has exited.
    ///
    /// # Errors
    ///
    /// Fails if its state cannot be read.
    pub fn has_exited(&mut self) -> Result<bool> {
        Ok(self.process.try_wait()?.is_some())
    }

    /// Suspends the process with SIGSTOP; its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn suspend(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGSTOP)?)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn resume(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGCONT)?)
    }

    /// Asks the process to stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn terminate(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGTERM)?)
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit within 60 seconds.
    pub async fn wait_exit(&mut self) -> Result<ExitStatus> {
        let end = tokio::time::timeout(EXIT_TIMEOUT.duration(), self.process.wait()).await;
        let lines = &self.lines;
        Ok(end.with_context(|| format!("the process did not exit:\n{}", join_lines(lines)))??)
    }

    /// Kills the process if it is running, and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.kill().await?;
        if self.addresses.is_null() {
            *self = Self::start_at(&self.binary, &self.arguments, self.address)?;
            return Ok(());
        }
        let mut arguments = self.arguments.clone();
        if !arguments.iter().any(|argument| argument == "--listen") {
            arguments.extend(["--listen".to_owned(), self.address.to_string()]);
        }
        *self = Self::start_with_retries(&self.binary, &arguments).await?;
        Ok(())
    }

    /// Starts a process at a fixed address, and retries while old connections may still occupy it.
    pub(super) async fn start_with_retries(binary: &Path, arguments: &[String]) -> Result<Self> {
        let mut attempts = 1;
        loop {
            match Self::start(binary, arguments).await {
                Err(_) if attempts < MAX_STARTS => attempts += 1,
                result => return result,
            }
            tokio::time::sleep(START_RETRY_DELAY.duration()).await;
        }
    }
}

/// Reads a pipe to its end, keeps the latest lines and sends on the first one that reports an
/// address.
async fn read_output<R>(
    pipe: Option<R>,
    lines: Lines,
    address_sender: Option<UnboundedSender<Value>>,
) where
    R: AsyncRead + Unpin,
{
    let Some(pipe) = pipe else { return };
    let mut reader = BufReader::new(pipe).lines();
    let mut address_sender = address_sender;
    while let Ok(Some(line)) = reader.next_line().await {
        if let Some(sender) = &address_sender
            && let Some(addresses) = parse_addresses(&line)
        {
            // The receiver is gone if the start has timed out.
            let _ = sender.send(addresses);
            address_sender = None;
        }
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back(line);
        if lines.len() > MAX_LINES {
            lines.pop_front();
        }
    }
}

fn parse_addresses(line: &str) -> Option<Value> {
    let value: Value = serde_json::from_str(line).ok()?;
    main_address(&value).map(|_| value)
}

/// Returns the address in `{"listening": ADDRESS}` or `{"event": "listening", "address": ADDRESS}`.
fn main_address(value: &Value) -> Option<SocketAddr> {
    let is_event = value.get("event").and_then(Value::as_str) == Some("listening");
    let field = if is_event { "address" } else { "listening" };
    value.get(field)?.as_str()?.parse().ok()
}

fn join_lines(lines: &Lines) -> String {
    let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().map(|line| format!("{line}\n")).collect()
}
