//! Stand-ins and drivers of the cases 11 to 15.

mod cases;
mod deployment;
mod http;
mod store;
mod system;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["worker", address, id, born, log] => {
            let (Ok(address), Ok(born)) = (address.parse(), born.parse()) else {
                return ExitCode::from(2);
            };
            worker::run(address, id, born, log);
            ExitCode::SUCCESS
        }
        [case, record] => {
            let case = match *case {
                "restarted-worker" => cases::restarted_worker,
                "killed-gateway" => cases::killed_gateway,
                "unread-metrics" => cases::unread_metrics,
                "stalled-group" => cases::stalled_group,
                "restored-store" => cases::restored_store,
                "unreadable-entry" => cases::unreadable_entry,
                _ => return ExitCode::from(2),
            };
            // A case that cannot run unwinds.
            std::panic::catch_unwind(|| case(record)).unwrap_or(ExitCode::from(2))
        }
        _ => {
            eprintln!("kit3 CASE RECORD");
            ExitCode::from(2)
        }
    }
}
