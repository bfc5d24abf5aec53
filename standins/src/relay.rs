//! A TCP relay within the test process that can delay bytes and close connections.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Result, bail};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// What the relay does with connections and bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RelayState {
    /// While `true`, bytes towards the target, and the end of the connection, are held, as in a network
    /// that is cut off. They are delivered later, even if their sender has closed the connection, but not
    /// if it has reset it.
    pub hold_outbound: bool,
    /// While `true`, bytes from the target are held in the same way.
    pub hold_inbound: bool,
    /// While `true`, new connections are closed immediately.
    pub refuse: bool,
    /// Connections that were accepted under a lower generation are closed; bytes held for them
    /// are lost.
    pub generation: u64,
}

/// A TCP relay to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
}

impl Relay {
    /// Starts a relay to `target` on an ephemeral port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(RelayState::default()));
        tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the relay, for open and new connections.
    pub fn update(&self, change: impl FnOnce(&mut RelayState)) {
        self.state.send_modify(change);
    }

    /// Closes every open connection; bytes held for them are lost.
    pub fn close_connections(&self) {
        self.update(|state| state.generation += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<RelayState>>) {
    while let Ok((client, _)) = listener.accept().await {
        let mut state = state.subscribe();
        if state.borrow_and_update().refuse {
            continue;
        }
        tokio::spawn(connect(client, target, state));
    }
}

async fn connect(client: TcpStream, target: SocketAddr, state: watch::Receiver<RelayState>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let generation = state.borrow().generation;
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = server.into_split();
    let mut closing = state.clone();
    tokio::select! {
        _ = copy_bytes(client_read, target_write, state.clone(), |state| state.hold_outbound) => {}
        _ = copy_bytes(target_read, client_write, state, |state| state.hold_inbound) => {}
        _ = closing.wait_for(|state| state.generation > generation) => {}
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    is_held: impl Fn(&RelayState) -> bool,
) -> Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let len = from.read(&mut buffer).await?;
        tokio::select! {
            released = state.wait_for(|state| !is_held(state)) => { released?; }
            reset = wait_for_reset(&from) => reset?,
        }
        if len == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..len]).await?;
    }
}

/// Waits until the peer resets its connection; then returns an error.
async fn wait_for_reset(stream: &OwnedReadHalf) -> Result<()> {
    stream.ready(Interest::ERROR).await?;
    bail!("the peer has reset the connection")
}
