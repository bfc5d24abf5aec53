//! The lines between two blank lines of a stream of events.

use bytes::BytesMut;

use crate::event_sequence::StreamFault;

/// The bytes of a stream that make no whole block yet.
#[derive(Debug, Default)]
pub(super) struct PartialBlock {
    bytes: BytesMut,
    /// How many bytes have been searched for the end of the block, and where the line after them begins.
    searched: usize,
    line_begin: usize,
}

impl PartialBlock {
    /// Appends bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Removes and returns the next block with its blank line, if it is whole.
    pub(super) fn next(&mut self) -> Option<BytesMut> {
        loop {
            let rest = &self.bytes[self.searched..];
            let Some(length) = rest.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.bytes.len();
                return None;
            };
            let line_end = self.searched + length;
            let is_blank = matches!(&self.bytes[self.line_begin..line_end], b"" | b"\r");
            self.searched = line_end + 1;
            self.line_begin = self.searched;
            if is_blank {
                let block = self.bytes.split_to(self.searched);
                (self.searched, self.line_begin) = (0, 0);
                return Some(block);
            }
        }
    }
}

/// What a block of lines says.
#[derive(Debug, Default)]
pub(super) struct Block<'a> {
    /// Whether it has a field, so that it is an event; comments alone are none.
    pub(super) is_event: bool,
    /// The number of the event.
    pub(super) number: Option<u64>,
    /// The first line of its data, and how many there are.
    pub(super) data: Option<&'a [u8]>,
    pub(super) data_lines: usize,
}

impl<'a> Block<'a> {
    /// Reads a block, its blank line included.
    pub(super) fn read(bytes: &'a [u8]) -> Result<Self, StreamFault> {
        let mut block = Self::default();
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.starts_with(b":") {
                continue;
            }
            block.is_event = true;
            let (name, value) = split_field(line).ok_or(StreamFault::Malformed)?;
            match name {
                b"id" if block.number.is_some() => return Err(StreamFault::Number),
                b"id" => block.number = Some(parse_number(value).ok_or(StreamFault::Number)?),
                b"data" => {
                    block.data.get_or_insert(value);
                    block.data_lines += 1;
                }
                _ => {}
            }
        }
        Ok(block)
    }
}

/// Returns the name and the value of a field; `None` if the line is none. A line without a colon is a name.
fn split_field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = match colon {
        Some(at) => (&line[..at], &line[at + 1..]),
        None => (line, &[][..]),
    };
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    let value = value.strip_prefix(b" ").unwrap_or(value);
    name.iter().all(is_name).then_some((name, value))
}

fn parse_number(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok()?;
    is_number.then(|| text.parse().ok()).flatten()
}
