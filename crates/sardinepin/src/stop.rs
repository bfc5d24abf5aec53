//! The graceful stop: the first signal lets work finish, the second ends at once.

use std::process::ExitCode;

use sardinepin_common::Millis;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The time between two looks at whether work has finished.
const POLL: Millis = Millis(10);

/// The exit code of a process that cut something off.
const CUT: u8 = 1;

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

/// Waits until `done` holds; returns `false` if another signal came first.
pub(crate) async fn until_done(signals: &mut Signals, done: impl Fn() -> bool) -> bool {
    let finished = async {
        while !done() {
            tokio::time::sleep(POLL.duration()).await;
        }
    };
    tokio::select! {
        () = finished => true,
        () = signals.recv() => false,
    }
}

/// Returns the exit code, and says what was cut off if the work did not finish.
pub(crate) fn exit_code(finished: bool, open: usize) -> ExitCode {
    if finished {
        log::info!(event = "stopped"; "stopped with nothing cut off");
        return ExitCode::SUCCESS;
    }
    log::error!(event = "cut", open = open; "stopped at once by a second signal");
    ExitCode::from(CUT)
}
