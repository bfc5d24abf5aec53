//! A server that answers everything in the same odd way.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::endless::{Endless, write_endless};

/// What an [`OddServer`] answers.
#[derive(Debug, Clone)]
pub enum OddAnswer {
    /// An answer without end.
    Endless(Endless),
    /// These bytes.
    Text(String),
}

/// A server that answers everything in the same odd way, and counts its connections.
#[derive(Debug, Default)]
pub struct OddServer {
    connections: AtomicUsize,
    ended: AtomicUsize,
}

impl OddServer {
    /// Starts a server; returns its address, too.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start(answer: OddAnswer) -> io::Result<(SocketAddr, Arc<Self>)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self::default());
        let shared = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(Arc::clone(&shared).serve(stream, answer.clone()));
            }
        });
        Ok((address, server))
    }

    /// Returns how many connections there have been.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns how many of them have ended.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, answer: OddAnswer) {
        let mut bytes = [0; 4_096];
        while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            match &answer {
                OddAnswer::Endless(part) => {
                    write_endless(&mut stream, *part, "").await;
                    break;
                }
                OddAnswer::Text(text) if stream.write_all(text.as_bytes()).await.is_err() => break,
                OddAnswer::Text(_) => {}
            }
        }
        self.ended.fetch_add(1, Ordering::Relaxed);
    }
}
