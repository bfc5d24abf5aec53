//! Tests for the format of log lines and for their writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use log::{Level, Record};
use sardinepin_common::Millis;

use super::format_line;
use super::writer::LogWriter;

#[test]
fn a_line_has_the_fixed_fields_first_and_then_the_key_values() {
    let pairs: [(&str, log::kv::Value<'_>); 5] = [
        ("event", "refused".into()),
        ("request", "r-1".into()),
        ("attempts", 2_u64.into()),
        ("late", true.into()),
        ("message", "second".into()),
    ];
    let source: &[(&str, log::kv::Value<'_>)] = &pairs;
    let written = format_line(
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

/// An output that accepts one write for each permit that the test sends.
struct GatedOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        self.permits.recv().map_err(closed)?;
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

/// Returns a gated output, the sender of its permits, and the receiver of what is written.
fn gated_output() -> (GatedOutput, Sender<()>, Receiver<String>) {
    let (permits, granted) = channel();
    let (written, seen) = channel();
    let output = GatedOutput {
        permits: granted,
        written,
    };
    (output, permits, seen)
}

#[test]
fn a_stalled_reader_does_not_block_logging_and_lost_lines_are_counted() {
    const LINES: usize = 5_000;
    let (output, permits, seen) = gated_output();
    let writer = LogWriter::start(output, usize::MAX);
    for number in 0..LINES {
        writer.push(format!("line {number}"));
    }
    // No write has been permitted so far; the rest of the test permits all of them.
    drop(writer);
    for _ in 0..10 * LINES {
        let _ = permits.send(());
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
fn lines_beyond_the_rate_limit_are_dropped() {
    let (output, permits, seen) = gated_output();
    for _ in 0..100 {
        permits.send(()).unwrap();
    }
    let writer = LogWriter::start(output, 20);
    for _ in 0..5 {
        writer.push("0123456789".to_owned());
    }
    drop(writer);
    drop(permits);
    let text: String = seen.iter().collect();
    assert_eq!(text.matches("0123456789").count(), 2);
}
