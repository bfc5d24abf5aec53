//! Links between processes: frames of postcard over TCP, opened by a greeting on each side.

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

/// How long connecting and greeting may take.
const GREETING_MAX: Millis = Millis(1_000);

/// Who this process is, for the greeting.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) role: Role,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
}

impl Identity {
    /// Draws a new incarnation for a process that starts.
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

/// A link whose greetings have been exchanged.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) peer: Hello,
    pub(crate) reader: FrameReader,
    pub(crate) writer: FrameWriter,
}

/// Opens a link to an agent.
///
/// # Errors
///
/// Returns an error if the agent cannot be reached, does not greet in time, or is of another
/// version.
pub(crate) async fn connect(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    timeout(GREETING_MAX.duration(), greet_agent(address, identity))
        .await
        .context("no greeting in time")?
}

/// Answers the greeting of a process that has connected to this agent.
///
/// # Errors
///
/// Returns an error if the peer does not greet in time, or is of another version.
pub(crate) async fn accept(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    timeout(GREETING_MAX.duration(), greet_peer(stream, identity))
        .await
        .context("no greeting in time")?
}

async fn greet_agent(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = split(stream)?;
    send(&mut writer, &ToAgent::Hello(identity.hello())).await?;
    let Some(ToEntry::Hello(peer)) = receive(&mut reader).await? else {
        bail!("the agent did not greet");
    };
    check_version(&peer)?;
    Ok(Link {
        peer,
        reader,
        writer,
    })
}

async fn greet_peer(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    let (mut reader, mut writer) = split(stream)?;
    let Some(ToAgent::Hello(peer)) = receive(&mut reader).await? else {
        bail!("the peer did not greet");
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
            "{} speaks version {} of the protocol, this process {PROTOCOL_VERSION}",
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

/// Reads one frame; `None` if the peer has closed the link.
pub(crate) async fn receive<T: DeserializeOwned>(
    reader: &mut FrameReader,
) -> anyhow::Result<Option<T>> {
    match reader.next().await {
        Some(frame) => Ok(Some(decode(&frame?)?)),
        None => Ok(None),
    }
}
