//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub type Fields = Vec<(String, String)>;

pub fn field<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    let found = fields
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads a start line and header fields; `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Fields)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.trim_end().to_owned();
    let mut fields = Fields::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some((start, fields)));
        }
        if let Some((name, value)) = text.split_once(':') {
            fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line.clear();
    reader.read_line(&mut line)?;
    Ok(data)
}

/// Reads the body of a request.
pub fn read_request_body(reader: &mut impl BufRead, fields: &Fields) -> io::Result<Vec<u8>> {
    if field(fields, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = field(fields, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// How an answer ended, as its reader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All bytes of its length, or its last chunk, came.
    Framed,
    /// It has neither a length nor chunks, and its channel was closed in order.
    Closed,
    /// The channel was closed or reset before the answer was complete.
    Broken,
    /// Nothing came for too long.
    TimedOut,
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub fields: Fields,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    fn none(end: End) -> Self {
        Self {
            status: 0,
            fields: Fields::new(),
            body: Vec::new(),
            end,
        }
    }

    /// Whether a reader takes it for a complete success.
    pub fn is_complete_success(&self) -> bool {
        (200..300).contains(&self.status) && matches!(self.end, End::Framed | End::Closed)
    }
}

/// How fast a client reads.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub piece: usize,
    pub pause: Duration,
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::TimedOut,
        _ => End::Broken,
    }
}

/// Reads one answer from a channel.
pub fn read_answer(reader: &mut impl BufRead, pace: Option<Pace>, by: Instant) -> Answer {
    let (status, fields) = loop {
        match read_head(reader) {
            Ok(Some((start, fields))) => {
                let status = start.split(' ').nth(1).and_then(|text| text.parse().ok());
                let status: u16 = status.unwrap_or(0);
                if !(100..200).contains(&status) {
                    break (status, fields);
                }
            }
            Ok(None) => return Answer::none(End::Broken),
            Err(error) => return Answer::none(end_of(&error)),
        }
    };
    let mut body = Vec::new();
    let chunked = field(&fields, "transfer-encoding").is_some();
    let length = field(&fields, "content-length").and_then(|text| text.parse::<usize>().ok());
    let end = loop {
        if Instant::now() > by {
            break End::TimedOut;
        }
        if chunked {
            match read_chunk(reader) {
                Ok(chunk) if chunk.is_empty() => break End::Framed,
                Ok(chunk) => body.extend(chunk),
                Err(error) => break end_of(&error),
            }
            continue;
        }
        let left = length.map_or(usize::MAX, |length| length - body.len());
        if left == 0 {
            break End::Framed;
        }
        let mut piece = vec![0; pace.map_or(16 * 1024, |pace| pace.piece).min(left)];
        match reader.read(&mut piece) {
            Ok(0) if length.is_none() => break End::Closed,
            Ok(0) => break End::Broken,
            Ok(count) => body.extend_from_slice(&piece[..count]),
            Err(error) => break end_of(&error),
        }
        if let Some(pace) = pace {
            std::thread::sleep(pace.pause);
        }
    };
    Answer {
        status,
        fields,
        body,
        end,
    }
}

/// Opens a channel; waits up to a second, as clients do.
pub fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request over a channel of its own and reads the answer.
pub fn ask(address: SocketAddr, request: &str, pace: Option<Pace>, limit: Duration) -> Answer {
    let by = Instant::now() + limit;
    let opened = match pace {
        None => open(address),
        Some(_) => crate::system::open_small(address),
    };
    let Ok(mut stream) = opened else {
        return Answer::none(End::Broken);
    };
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::none(End::Broken);
    }
    read_answer(&mut BufReader::with_capacity(4096, stream), pace, by)
}
