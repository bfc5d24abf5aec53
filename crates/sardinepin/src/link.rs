//! Links between processes: postcard frames over TCP, after a handshake with a `Hello` frame from
//! each side.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use futures_util::{SinkExt, StreamExt};
use sardinepin_common::{Incarnation, Millis};
use sardinepin_protocol::{
    FrameReader, FrameWriter, Hello, PROTOCOL_VERSION, Role, ToAgent, ToEntry, decode, encode,
    frame_codec,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout for connecting and the handshake together.
const HANDSHAKE_TIMEOUT: Millis = Millis(1_000);

/// The identity of this process, which it sends in the handshake.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) role: Role,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
}

impl Identity {
    /// Creates the identity of a starting process, with a random incarnation.
    pub(crate) fn new(role: Role, name: &str, zone: &str) -> Self {
        Self {
            role,
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation: Incarnation(rand::random()),
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            role: self.role,
            name: self.name.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// A link after its handshake.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) peer: Hello,
    pub(crate) reader: FrameReader,
    pub(crate) writer: FrameWriter,
}

/// Connects to an agent and performs the handshake.
///
/// # Errors
///
/// Returns an error if the agent cannot be reached, does not complete the handshake in time, or
/// uses another protocol version.
pub(crate) async fn connect(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    timeout(
        HANDSHAKE_TIMEOUT.duration(),
        handshake_with_agent(address, identity),
    )
    .await
    .context("the handshake timed out")?
}

/// Performs the handshake with a process that has connected to this agent.
///
/// # Errors
///
/// Returns an error if the peer does not complete the handshake in time or uses another protocol
/// version.
pub(crate) async fn accept(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    timeout(
        HANDSHAKE_TIMEOUT.duration(),
        handshake_with_peer(stream, identity),
    )
    .await
    .context("the handshake timed out")?
}

async fn handshake_with_agent(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = split(stream)?;
    send(&mut writer, &ToAgent::Hello(identity.hello())).await?;
    let Some(ToEntry::Hello(peer)) = receive(&mut reader).await? else {
        bail!("the agent did not send a hello frame");
    };
    check_version(&peer)?;
    Ok(Link {
        peer,
        reader,
        writer,
    })
}

async fn handshake_with_peer(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    let (mut reader, mut writer) = split(stream)?;
    let Some(ToAgent::Hello(peer)) = receive(&mut reader).await? else {
        bail!("the peer did not send a hello frame");
    };
    send(&mut writer, &ToEntry::Hello(identity.hello())).await?;
    check_version(&peer)?;
    Ok(Link {
        peer,
        reader,
        writer,
    })
}

fn split(stream: TcpStream) -> anyhow::Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    Ok((
        FrameReader::new(read, frame_codec()),
        FrameWriter::new(write, frame_codec()),
    ))
}

fn check_version(peer: &Hello) -> anyhow::Result<()> {
    if peer.version != PROTOCOL_VERSION {
        bail!(
            "{} uses protocol version {}, but this process uses {PROTOCOL_VERSION}",
            peer.name,
            peer.version
        );
    }
    Ok(())
}

/// Writes one frame and flushes it.
pub(crate) async fn send<T: Serialize>(
    writer: &mut FrameWriter,
    message: &T,
) -> anyhow::Result<()> {
    writer.send(encode(message)?).await?;
    Ok(())
}

/// Writes one frame without flushing it.
pub(crate) async fn feed<T: Serialize>(
    writer: &mut FrameWriter,
    message: &T,
) -> anyhow::Result<()> {
    writer.feed(encode(message)?).await?;
    Ok(())
}

/// Flushes the frames written so far.
pub(crate) async fn flush(writer: &mut FrameWriter) -> anyhow::Result<()> {
    SinkExt::<bytes::Bytes>::flush(writer).await?;
    Ok(())
}

/// Makes the link be reset when it is closed, so that frames that the network still holds are lost.
pub(crate) fn reset_on_close(writer: &FrameWriter) {
    sardinepin_runtime::reset_on_close(writer.get_ref().as_ref());
}

/// Reads one frame; returns `None` if the peer has closed the link.
pub(crate) async fn receive<T: DeserializeOwned>(
    reader: &mut FrameReader,
) -> anyhow::Result<Option<T>> {
    match reader.next().await {
        Some(frame) => Ok(Some(decode(&frame?)?)),
        None => Ok(None),
    }
}
