//! The HTTP/1.1 server and client that all stand-ins share.

mod client;
mod server;

pub use client::{FullResponse, HttpClient};
pub use server::{
    Body, CloseConnection, Handler, HandlerResult, json_response, serve, spawn_server,
    streaming_response, text_response, truncated_body,
};
