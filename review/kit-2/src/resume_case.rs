//! Streams whose worker breaks off between the last event and the end of its answer.

use std::io;
use std::path::Path;

use crate::Verdict;
use crate::client::{self, StreamAnswer};
use crate::deployment::Deployment;
use crate::http::Connection;
use crate::note;
use crate::record::Record;
use crate::stop_case::{DEADLINE_MS, SERVICE, describe, manifest};
use crate::store::Store;
use crate::worker::Worker;

/// How many streams are sent at the same time, how often, and how many events each has.
const STREAMS: u64 = 20;
const ROUNDS: u64 = 2;
const EVENTS: u64 = 5;

/// One in so many streams breaks off.
const BREAKS: u64 = 3;

/// How many closed channels the rule allows.
const CLOSED_MAX: u64 = 3;

/// A client that sends one request after the other.
#[derive(Clone, Copy)]
struct Caller<'a> {
    deployment: &'a Deployment,
    record: &'a Record,
}

impl Caller<'_> {
    /// Sends streams that run at the same time, numbered from `first` on.
    fn first_attempts(self, first: u64) -> Vec<io::Result<(u64, StreamAnswer)>> {
        std::thread::scope(|scope| {
            let clients: Vec<_> = (first..first + STREAMS)
                .map(|number| scope.spawn(move || self.first_attempt(number)))
                .collect();
            let joined = clients.into_iter().map(|client| client.join());
            joined.filter_map(Result::ok).collect()
        })
    }

    fn first_attempt(self, number: u64) -> io::Result<(u64, StreamAnswer)> {
        let mut channel = Connection::open(self.deployment.front(1))?;
        let answer = self.send(&mut channel, &format!("d{number:015x}"), None)?;
        Ok((number, answer))
    }

    /// Goes on after the last event, on a channel that has served a request before.
    fn go_on(self, number: u64, last: Option<u64>) -> io::Result<Option<StreamAnswer>> {
        let mut channel = Connection::open(self.deployment.front(1))?;
        let before = self.send(&mut channel, &format!("e{number:015x}"), None)?;
        if !before.complete || before.head.closes() {
            return Ok(None);
        }
        self.send(&mut channel, &format!("f{number:015x}"), last)
            .map(Some)
    }

    fn send(
        self,
        channel: &mut Connection,
        id: &str,
        last: Option<u64>,
    ) -> io::Result<StreamAnswer> {
        let mut request = client::request("POST", &format!("/question/{EVENTS}"), id, DEADLINE_MS);
        if let Some(last) = last {
            request = request.replace("X-Model", &format!("Last-Event-Id: {last}\r\nX-Model"));
        }
        channel.send(&request)?;
        let answer = client::read_stream(channel, |_| {})?;
        note!(
            self.record,
            "the client's {id}, last event {last:?}: {}",
            describe(&answer)
        );
        Ok(answer)
    }
}

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::choose()?;
    let store = Store::start(deployment.store())?;
    let workers = [
        Worker::start("i-2c90a1f4", deployment.app(11), &record)?,
        Worker::start("i-6e0b77d3", deployment.app(12), &record)?,
    ];
    store.put("config", "main", &manifest());
    for worker in &workers {
        store.put("servers", worker.id, &worker.entry(SERVICE));
    }
    let gateway = deployment.start_gateway(1)?;
    deployment.wait_until_ready(1)?;
    let caller = Caller {
        deployment: &deployment,
        record: &record,
    };
    if trouble {
        let id = workers[0].id;
        note!(
            record,
            "worker {id} begins to break off one in {BREAKS} answers"
        );
        workers[0].break_off(BREAKS);
    }
    let mut ended = Vec::new();
    for round in 0..ROUNDS {
        ended.extend(caller.first_attempts(round * STREAMS));
    }
    workers[0].break_off(0);
    note!(record, "both workers are sound from here on");
    let (mut resumed, mut closed) = (0, 0);
    for one in ended {
        let (number, answer) = one?;
        if answer.complete || answer.events.len() as u64 != EVENTS {
            continue;
        }
        if let Some(answer) = caller.go_on(number, answer.events.last().copied())? {
            resumed += 1;
            closed += u64::from(!answer.complete);
        }
    }
    for line in deployment.log_lines("gateway", 1, &["again", "response_rejected", "cut"]) {
        note!(record, "log of the gateway: {line}");
    }
    drop(gateway);
    let verdict = match closed > CLOSED_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    note!(
        record,
        "of {resumed} requests that went on after their last event, {closed} ended with a closed channel"
    );
    note!(record, "LOST: {verdict:?}");
    Ok(verdict)
}
