//! A TCP relay within the test process that can delay bytes and close connections.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The size of the read buffer, in bytes.
const READ_LEN: usize = 16 * 1024;

/// What the relay does with connections and bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RelayState {
    /// Bytes towards the target are held until this is `false`.
    pub hold_outbound: bool,
    /// Bytes from the target are held until this is `false`.
    pub hold_inbound: bool,
    /// New connections are closed immediately.
    pub refuse: bool,
    /// Connections that were accepted under a lower generation are closed; bytes held for them
    /// are lost.
    pub cut: u64,
}

/// A TCP relay to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    flow: Arc<watch::Sender<RelayState>>,
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
        let flow = Arc::new(watch::Sender::new(RelayState::default()));
        tokio::spawn(accept(listener, target, Arc::clone(&flow)));
        Ok(Self { address, flow })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the relay, for open and new connections.
    pub fn update(&self, change: impl FnOnce(&mut RelayState)) {
        self.flow.send_modify(change);
    }

    /// Closes every open connection; bytes held for them are lost.
    pub fn close_connections(&self) {
        self.update(|flow| flow.cut += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, flow: Arc<watch::Sender<RelayState>>) {
    while let Ok((near, _)) = listener.accept().await {
        let mut watched = flow.subscribe();
        if watched.borrow_and_update().refuse {
            continue;
        }
        tokio::spawn(connect(near, target, watched));
    }
}

async fn connect(near: TcpStream, target: SocketAddr, flow: watch::Receiver<RelayState>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let number = flow.borrow().cut;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = flow.clone();
    tokio::select! {
        _ = pump(near_read, far_write, flow.clone(), |flow| flow.hold_outbound) => {}
        _ = pump(far_read, near_write, flow, |flow| flow.hold_inbound) => {}
        _ = cut.wait_for(|flow| flow.cut > number) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut flow: watch::Receiver<RelayState>,
    held: impl Fn(&RelayState) -> bool,
) -> Result<()> {
    let mut buffer = vec![0; READ_LEN];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        flow.wait_for(|flow| !held(flow)).await?;
        to.write_all(&buffer[..len]).await?;
    }
}
