//! One process, its address and what it writes.

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

/// How many of the last lines are kept.
const LINES_KEPT: usize = 400;

/// How long a process may take to listen.
const LISTENS_WITHIN: Millis = Millis(30_000);

/// How long a process may take to end once it was told to.
const ENDS_WITHIN: Millis = Millis(60_000);

/// How often a process is started again while its address is taken.
const STARTS: usize = 50;

/// The time between two such starts.
const START_PAUSE: Millis = Millis(100);

/// The last lines of a process.
type Lines = Arc<Mutex<VecDeque<String>>>;

/// A process that listens; it is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    binary: PathBuf,
    arguments: Vec<String>,
    process: tokio::process::Child,
    pid: Pid,
    listening: Value,
    address: SocketAddr,
    lines: Lines,
}

impl ChildProcess {
    /// Starts a process and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// Fails with the process's output if it ends or stays silent instead.
    pub async fn start(binary: &Path, arguments: &[String]) -> Result<Self> {
        let mut process = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} cannot be started", binary.display()))?;
        let pid = process.id().context("the process has ended")?;
        let lines = Lines::default();
        let (said, mut heard) = mpsc::unbounded_channel();
        tokio::spawn(drain(process.stderr.take(), Arc::clone(&lines), None));
        tokio::spawn(drain(process.stdout.take(), Arc::clone(&lines), Some(said)));
        let wait = tokio::time::timeout(LISTENS_WITHIN.duration(), heard.recv());
        let Ok(Some(listening)) = wait.await else {
            // What it writes to the other pipe may still be on its way.
            let _ = process.kill().await;
            tokio::time::sleep(START_PAUSE.duration()).await;
            let name = binary.display();
            bail!("{name} {arguments:?} does not listen:\n{}", joined(&lines));
        };
        let address = address(&listening).context("the process listens at no address")?;
        Ok(Self {
            binary: binary.to_path_buf(),
            arguments: arguments.to_vec(),
            process,
            pid: Pid::from_raw(i32::try_from(pid)?),
            listening,
            address,
            lines,
        })
    }

    /// Returns the address where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns another address that it has named when it began to listen, such as `admin`.
    #[must_use]
    pub fn named_address(&self, name: &str) -> Option<SocketAddr> {
        self.listening.get(name)?.as_str()?.parse().ok()
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Returns the last lines that it has written.
    #[must_use]
    pub fn recent_output(&self) -> String {
        joined(&self.lines)
    }

    /// Kills it, unless it has ended, and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be killed.
    pub async fn kill(&mut self) -> Result<()> {
        if self.process.try_wait()?.is_none() {
            self.process.kill().await?;
        }
        Ok(())
    }

    /// Stops it by SIGSTOP, with its connections open.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be signalled.
    pub fn suspend(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGSTOP)?)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be signalled.
    pub fn resume(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGCONT)?)
    }

    /// Tells it to stop, by SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be signalled.
    pub fn terminate(&self) -> Result<()> {
        Ok(kill(self.pid, Signal::SIGTERM)?)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it does not end within a minute.
    pub async fn wait_exit(&mut self) -> Result<ExitStatus> {
        let end = tokio::time::timeout(ENDS_WITHIN.duration(), self.process.wait()).await;
        let lines = &self.lines;
        Ok(end.with_context(|| format!("it does not end:\n{}", joined(lines)))??)
    }

    /// Kills it if it runs, and starts it again at its address.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.kill().await?;
        let mut arguments = self.arguments.clone();
        if !arguments.iter().any(|argument| argument == "--listen") {
            arguments.extend(["--listen".to_owned(), self.address.to_string()]);
        }
        *self = Self::start_again(&self.binary, &arguments).await?;
        Ok(())
    }

    /// Starts a process at an address that a connection may still hold for a moment.
    pub(super) async fn start_again(binary: &Path, arguments: &[String]) -> Result<Self> {
        let mut tries = 1;
        loop {
            match Self::start(binary, arguments).await {
                Err(_) if tries < STARTS => tries += 1,
                result => return result,
            }
            tokio::time::sleep(START_PAUSE.duration()).await;
        }
    }
}

/// Reads a pipe to its end, keeps the last lines and passes on the one that says `listening`.
async fn drain<R>(pipe: Option<R>, lines: Lines, said: Option<UnboundedSender<Value>>)
where
    R: AsyncRead + Unpin,
{
    let Some(pipe) = pipe else { return };
    let mut reader = BufReader::new(pipe).lines();
    let mut said = said;
    while let Ok(Some(line)) = reader.next_line().await {
        if let Some(sender) = &said
            && let Some(listening) = listening(&line)
        {
            // Nobody waits any more if the start has been given up.
            let _ = sender.send(listening);
            said = None;
        }
        let mut kept = lines.lock().unwrap_or_else(PoisonError::into_inner);
        kept.push_back(line);
        if kept.len() > LINES_KEPT {
            kept.pop_front();
        }
    }
}

fn listening(line: &str) -> Option<Value> {
    let value: Value = serde_json::from_str(line).ok()?;
    address(&value).map(|_| value)
}

/// Returns the address in `{"listening": ADDRESS}` or `{"event": "listening", "address": ADDRESS}`.
fn address(value: &Value) -> Option<SocketAddr> {
    let is_event = value.get("event").and_then(Value::as_str) == Some("listening");
    let field = if is_event { "address" } else { "listening" };
    value.get(field)?.as_str()?.parse().ok()
}

fn joined(lines: &Lines) -> String {
    let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().map(|line| format!("{line}\n")).collect()
}
