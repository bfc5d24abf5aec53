//! Asks processes as a caller would which configuration they apply: version `n` adds the path `/c/n/`.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use sardinepin_common::Millis;
use sardinepin_standins::http::HttpClient;

use super::checks::ConfigHistory;
use super::log::SoakLog;

/// The interval between two questions to a process.
const PROBE_INTERVAL: Millis = Millis(60);

/// The time limit for an answer.
const PROBE_TIMEOUT: Millis = Millis(2_000);

/// How a process is asked whether it applies a version.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) half: &'static str,
    pub(super) address: SocketAddr,
    pub(super) headers: Vec<(&'static str, String)>,
    /// The status of a path that is configured, and of one that is not; others say nothing.
    pub(super) statuses: (u16, u16),
}

impl Probe {
    /// Asks about the next version and the last one that was seen, without end.
    pub(super) async fn run(&self, log: &SoakLog, history: &mut ConfigHistory) {
        let client = HttpClient::default();
        let mut count = 0;
        loop {
            for version in [history.highest + 1, history.highest] {
                count += 1;
                let Some(is_applied) = self.ask(&client, version, count).await else {
                    continue;
                };
                if version > 0 && !history.record(version, is_applied) {
                    let detail =
                        format!("{} does not apply version {version} any more", self.address);
                    log.violation(self.half, "config", &detail);
                }
            }
            tokio::time::sleep(PROBE_INTERVAL.duration()).await;
        }
    }

    async fn ask(&self, client: &HttpClient, version: u64, count: u64) -> Option<bool> {
        let path = format!("/c/{version}/");
        let id = format!("probe-{}-{count}", self.address.port());
        let mut headers: Vec<_> = self
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        headers.push(("x-attempt-id", id.as_str()));
        let call = client.request(Method::POST, self.address, &path, &headers, Bytes::new());
        let call = tokio::time::timeout(PROBE_TIMEOUT.duration(), call).await;
        let status = call.ok()?.ok()?.status.as_u16();
        let (applied, absent) = self.statuses;
        (status == applied || status == absent).then_some(status == applied)
    }
}
