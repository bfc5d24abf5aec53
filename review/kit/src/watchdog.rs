//! Ends a case, and all processes that it started, if it takes too long.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The longest time that a case takes.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

const SIGKILL: i32 = 9;

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Notes a process that the case has started.
pub fn add(process: u32) {
    PROCESSES.lock().unwrap().push(process);
}

/// Starts to watch the time.
pub fn start() {
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        for process in PROCESSES.lock().unwrap().iter() {
            // SAFETY: the call takes plain numbers; the process is a child that has not been waited for.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        println!("could not run: it took too long");
        std::process::exit(2);
    });
}

/// Sends a signal to a process that the case has started.
pub fn signal(process: u32, signal: i32) {
    // SAFETY: the call takes plain numbers; the process is a child that has not been waited for.
    unsafe { kill(process as i32, signal) };
}
