//! One part of a prompt, which workers have answered before, begins to crash each worker that begins to write an answer on it.

use std::io;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::ZONES;
use crate::plain_crash::play;
use crate::record::Record;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let sound = Duration::from_secs(6);
    play(
        record,
        trouble,
        true,
        sound,
        &ZONES,
        Duration::from_secs(40),
    )
}
