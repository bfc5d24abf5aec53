//! Keeps a reload signal from ending a process that has only just started.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGHUP;

/// Takes SIGHUP, which ends a process by default, if the first argument is one of `roles`. A role installs a handler of its own later;
/// a signal before that needs no work, as the settings have not been read yet.
///
/// Tools keep the default, so that they end with their terminal.
pub(crate) fn ignore_for(roles: &[&str]) {
    let argument = std::env::args_os().nth(1);
    let is_role = argument.is_some_and(|argument| roles.iter().any(|role| argument == *role));
    if is_role {
        // Without the handler, only the first moments of the process are at risk, as before.
        let _ = signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false)));
    }
}
