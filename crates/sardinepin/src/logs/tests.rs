//! Tests of the lines of the log and of their writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use log::{Level, Record};
use sardinepin_common::Millis;

use super::line;
use super::writer::Writer;

#[test]
fn a_line_has_the_fixed_fields_first_and_the_pairs_after_them() {
    let pairs: [(&str, log::kv::Value<'_>); 5] = [
        ("event", "refused".into()),
        ("request", "r-1".into()),
        ("attempts", 2_u64.into()),
        ("late", true.into()),
        ("message", "second".into()),
    ];
    let source: &[(&str, log::kv::Value<'_>)] = &pairs;
    let written = line(
        &Record::builder()
            .level(Level::Warn)
            .target("sardinepin::entry")
            .args(format_args!("a \"quoted\"\nline"))
            .key_values(&source)
            .build(),
        Millis(1_700_000_000_123),
    );
    assert_eq!(
        written,
        "{\"time\":\"2023-11-14T22:13:20.123Z\",\"level\":\"warn\",\
         \"target\":\"sardinepin::entry\",\"message\":\"a \\\"quoted\\\"\\nline\",\
         \"event\":\"refused\",\"request\":\"r-1\",\"attempts\":2,\"late\":true,\
         \"message_\":\"second\"}"
    );
}

/// An output that takes a line only when the test lets it.
struct Gate {
    tickets: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        self.tickets.recv().map_err(closed)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written
            .send(text)
            .map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a gate, the tickets that open it, and what passes it.
fn gate() -> (Gate, Sender<()>, Receiver<String>) {
    let (tickets, taken) = channel();
    let (written, seen) = channel();
    let gate = Gate {
        tickets: taken,
        written,
    };
    (gate, tickets, seen)
}

#[test]
fn a_reader_that_never_reads_holds_nothing_up_and_lost_lines_are_counted() {
    const LINES: usize = 5_000;
    let (gate, tickets, seen) = gate();
    let writer = Writer::start(gate, usize::MAX);
    for at in 0..LINES {
        writer.push(format!("line {at}"));
    }
    // Nothing has been read so far; now everything may be.
    drop(writer);
    for _ in 0..10 * LINES {
        let _ = tickets.send(());
    }
    let text: String = seen.iter().collect();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert!(lines < LINES, "{lines}");
    let lost: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("{\"event\":\"lines_lost\",\"count\":"))
        .map(|rest| rest.trim_end_matches('}').parse::<usize>().unwrap())
        .sum();
    assert_eq!(lines + lost, LINES);
}

#[test]
fn lines_beyond_the_bound_on_bytes_are_left_out() {
    let (gate, tickets, seen) = gate();
    for _ in 0..100 {
        tickets.send(()).unwrap();
    }
    let writer = Writer::start(gate, 20);
    for _ in 0..5 {
        writer.push("0123456789".to_owned());
    }
    drop(writer);
    drop(tickets);
    let text: String = seen.iter().collect();
    assert_eq!(text.matches("0123456789").count(), 2);
}
