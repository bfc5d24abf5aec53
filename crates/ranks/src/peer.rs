//! Calls between the agents of a group.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use sardinepin_common::Millis;
use sardinepin_protocol::{decode, encode, framed};
use sardinepin_runtime::reset_on_close;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use crate::agent::Agent;
use crate::messages::{Call, Reply};

/// The timeout of a call, including the connection setup.
const CALL_TIMEOUT: Millis = Millis(250);

/// How long a connection may be idle before the server closes it.
const IDLE_TIMEOUT: Millis = Millis(30_000);

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// A connection to an agent, which carries length-delimited frames.
type Connection = tokio_util::codec::Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>;

/// A client for the agent of one member.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
}

impl PeerClient {
    /// Returns a client for the agent at `address`, which connects at its first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::new(None),
        }
    }

    /// Calls the agent; `None` means that no reply came and the call may or may not have been
    /// carried out.
    pub async fn call(&self, call: &Call) -> Option<Reply> {
        self.call_within(CALL_TIMEOUT, call).await
    }

    /// Calls the agent like [`PeerClient::call`], with another timeout.
    pub(crate) async fn call_within(&self, timeout: Millis, call: &Call) -> Option<Reply> {
        let reply = tokio::time::timeout(timeout.duration(), self.exchange(call));
        reply.await.ok().flatten()
    }

    async fn exchange(&self, call: &Call) -> Option<Reply> {
        let mut slot = self.connection.lock().await;
        // The connection is kept only after a complete exchange. Otherwise the next call could read
        // the late reply to this one.
        let mut connection = match slot.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.send(encode(call).ok()?).await.ok()?;
        let frame = connection.next().await?.ok()?;
        let reply = decode(&frame).ok()?;
        *slot = Some(connection);
        Some(reply)
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        // An order without a reply must not reach an agent after its sender has given it up.
        reset_on_close(&stream);
        Some(framed(stream))
    }
}

/// Accepts connections of coordinators and replies to their calls; never returns.
pub(crate) async fn serve(agent: Arc<Agent>, listener: TcpListener) {
    let mut pauses = agent.pauses.count();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            // All connections that were opened before the end of the pause have been accepted.
            () = agent.pauses.wait_for_more_than(pauses) => {
                pauses = agent.pauses.count();
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let agent = Arc::clone(&agent);
                tokio::spawn(async move { serve_connection(&agent, stream, pauses).await });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a connection from a coordinator");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

/// Replies to the calls of one connection until it ends, or until the first call after a pause of this
/// process: its sender has given it up, as a call takes much less time than a pause.
///
/// `pauses` is the number of pauses before the connection was opened.
async fn serve_connection(agent: &Agent, stream: TcpStream, pauses: u64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut connection = framed(stream);
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT.duration(), connection.next());
        let frame = next.await.ok()??.ok()?;
        if agent.pauses.count() != pauses {
            return None;
        }
        let call: Call = decode(&frame).ok()?;
        let reply = agent.handle_call(call).await;
        connection.send(encode(&reply).ok()?).await.ok()?;
    }
}
