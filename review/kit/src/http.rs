//! A small HTTP/1.1 server and client over blocking sockets, for the stand-ins of this review.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The longest time that a stand-in waits for bytes of its peer.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A request or a response: its first line, its header fields with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(own, _)| own == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at a position, from 0.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads bytes of a connection and keeps what belongs to the next message.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn fill_some(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill_some()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill_some()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
    }

    /// Reads the body that follows a head. Returns whether its framing says that it is complete.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<bool> {
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = match self.line() {
                    Ok(line) => usize::from_str_radix(line.trim(), 16).unwrap_or_default(),
                    Err(_) => return Ok(false),
                };
                let Ok(bytes) = self.take(size + 2) else {
                    message.body.append(&mut self.buffer);
                    return Ok(false);
                };
                message.body.extend_from_slice(&bytes[..size]);
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if let Some(length) = message.field("content-length") {
            let length = length.parse().unwrap_or_default();
            return match self.take(length) {
                Ok(bytes) => {
                    message.body = bytes;
                    Ok(true)
                }
                Err(_) => {
                    message.body.append(&mut self.buffer);
                    Ok(false)
                }
            };
        }
        if !is_response {
            return Ok(true);
        }
        loop {
            match self.fill() {
                Ok(0) => break,
                Ok(_) => {}
                Err(_) => {
                    message.body.append(&mut self.buffer);
                    return Ok(false);
                }
            }
        }
        message.body.append(&mut self.buffer);
        Ok(true)
    }
}

/// What a stand-in does with a request on a connection; an error closes the connection.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()>;
}

/// A server that can go away and come back at its address.
pub struct Server {
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server at `address`, whose port may be 0.
    pub fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (open, all) = (Arc::clone(&is_open), Arc::clone(&streams));
        thread::spawn(move || {
            while open.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        if stream.set_nonblocking(false).is_err() {
                            continue;
                        }
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            all.lock().unwrap().push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            address,
            is_open,
            streams,
        })
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(10));
        self.cut();
    }

    /// Closes all connections.
    pub fn cut(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Handler) {
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = Reader::new(copy);
    let mut stream = stream;
    loop {
        let Ok(mut request) = reader.head() else {
            break;
        };
        if !matches!(reader.body(&mut request, false), Ok(true)) {
            break;
        }
        if handler.handle(&request, &mut stream).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// The answer that a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub message: Message,
    /// Whether the answer looks complete.
    pub complete: bool,
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = Reader::new(stream);
    let mut message = reader.head()?;
    let complete = reader.body(&mut message, true)?;
    Ok(Answer { message, complete })
}
