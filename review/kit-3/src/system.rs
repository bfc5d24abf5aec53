//! Processes that the driver starts, signals to them, and one option of its own sockets.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SocketAddressV4, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

const PR_SET_PDEATHSIG: i32 = 1;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;

/// What the client's system takes that the client has not read.
const WINDOW_BYTES: i32 = 16 * 1024;

/// The length of a packet, as over Ethernet.
const PACKET_BYTES: i32 = 1448;

/// A process of the case; it is killed when this is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts a process that ends with the driver, however that ends.
    pub fn start(mut command: Command) -> Self {
        // SAFETY: the call is one system call, which is allowed between `fork` and `exec`.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        Self {
            child: command.spawn().expect("a process of the case"),
        }
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so that the number is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    pub fn wake(&self) {
        self.signal(SIGCONT);
    }

    #[allow(dead_code)]
    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.runs() {
            self.kill();
        }
    }
}

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    rest: [u8; 8],
}

/// Opens a channel as over a link with packets of usual length and small windows. Loopback's own packets are so long that the sender's
/// system takes more than a megabyte that has not been read.
pub fn open_small(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        rest: [0; 8],
    };
    // SAFETY: the descriptor is new and owned by the stream from then on; options and address are as the calls want them.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &PACKET_BYTES, 4);
        match connect(fd, &target, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Has a channel be reset when it is closed.
pub fn reset(stream: &TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two `int`.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}
