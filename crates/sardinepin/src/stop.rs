//! Graceful shutdown: after the first signal open work is finished, a second one ends the process
//! at once.

use std::process::ExitCode;

use sardinepin_common::Millis;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The interval of checks whether the open work has finished.
const POLL_INTERVAL: Millis = Millis(10);

/// The exit code of a process that stopped before its open work had finished.
const EXIT_INCOMPLETE: u8 = 1;

/// The signals that stop a process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts listening for SIGTERM and SIGINT.
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits until `done` returns true; returns `false` if a signal arrives first.
pub(crate) async fn until_done(signals: &mut Signals, done: impl Fn() -> bool) -> bool {
    let finished = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    };
    tokio::select! {
        () = finished => true,
        () = signals.recv() => false,
    }
}

/// Returns the exit code, and logs the number of `open` items that were cut off if the work did not
/// finish.
pub(crate) fn exit_code(finished: bool, open: usize) -> ExitCode {
    if finished {
        log::info!(event = "stopped"; "stopped after all open work finished");
        return ExitCode::SUCCESS;
    }
    log::error!(event = "cut", open = open; "stopped at once by a second signal; open work was cut off");
    ExitCode::from(EXIT_INCOMPLETE)
}
