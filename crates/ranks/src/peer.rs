//! Calls between the agents of a group.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use sardinepin_common::Millis;
use sardinepin_protocol::{decode, encode, framed};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use crate::agent::Agent;
use crate::messages::{Call, Reply};

/// The longest time over a call, connecting included.
const CALL_MAX: Millis = Millis(250);

/// How long a connection may be silent before its server ends it.
const SILENCE_MAX: Millis = Millis(30_000);

/// The wait after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(50);

/// An open connection to an agent.
type Connection = tokio_util::codec::Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>;

/// The way to the agent of one member.
#[derive(Debug)]
pub(crate) struct Peer {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
}

impl Peer {
    /// Makes a way to the agent at `address`; it connects when it is first called.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::new(None),
        }
    }

    /// Calls the agent; `None` means that no answer came, and nothing is known.
    pub(crate) async fn call(&self, call: &Call) -> Option<Reply> {
        let answer = tokio::time::timeout(CALL_MAX.duration(), self.exchange(call));
        answer.await.ok().flatten()
    }

    async fn exchange(&self, call: &Call) -> Option<Reply> {
        let mut held = self.connection.lock().await;
        // The connection is put back only after a whole exchange, so a late answer meets no call.
        let mut connection = match held.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.send(encode(call).ok()?).await.ok()?;
        let frame = connection.next().await?.ok()?;
        let reply = decode(&frame).ok()?;
        *held = Some(connection);
        Some(reply)
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(framed(stream))
    }
}

/// Answers calls of coordinators for as long as the process lives.
pub(crate) async fn serve(agent: Arc<Agent>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let agent = Arc::clone(&agent);
                tokio::spawn(async move { answer(&agent, stream).await });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a coordinator");
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

async fn answer(agent: &Agent, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut connection = framed(stream);
    loop {
        let next = tokio::time::timeout(SILENCE_MAX.duration(), connection.next());
        let frame = next.await.ok()??.ok()?;
        let call: Call = decode(&frame).ok()?;
        let reply = agent.answer(call).await;
        connection.send(encode(&reply).ok()?).await.ok()?;
    }
}
