//! Passes a stream of events on, and goes on at another upstream when one breaks off.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sardinepin_common::Millis;

use crate::answer::Body;
use crate::attempt::{Begun, Failure, Plan};
use crate::call::Call;
use crate::events::{EventSplitter, after};
use crate::fleet::AttemptOutcome;
use crate::follow::{Tries, is_movable};
use crate::gateway::Gateway;
use crate::measure::{self, End, Part};

/// A stream on its way to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    tries: Tries,
    /// The attempt that the stream comes from; `None` once it has ended.
    begun: Option<Begun>,
    splitter: EventSplitter,
    /// The last event that the caller was given.
    last: Option<u64>,
    /// The last event before this attempt, up to which its events are dropped.
    resumed: Option<u64>,
    timing: Timing,
}

/// How the events of a stream came.
#[derive(Debug, Default)]
struct Timing {
    chunks: u64,
    first: Option<Millis>,
    last: Millis,
    /// The longest pause between two chunks of events.
    pause: Millis,
}

impl Timing {
    fn event(&mut self, now: Millis) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.pause = self.pause.max(now.since(self.last));
        }
        self.last = now;
        self.chunks += 1;
    }
}

/// What an upstream gave next.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// The stream broke off.
    Broken(Failure),
}

impl Relay {
    /// Makes the way of a stream whose head has come.
    pub(crate) fn new(gateway: Arc<Gateway>, call: Arc<Call>, tries: Tries, begun: Begun) -> Self {
        let last = call.last_event(&gateway.names);
        Self {
            gateway,
            call,
            tries,
            begun: Some(begun),
            splitter: EventSplitter::default(),
            last,
            resumed: None,
            timing: Timing::default(),
        }
    }

    /// Returns the body that gives out the stream.
    pub(crate) fn into_body(self) -> Body {
        let frames = unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            match self.read().await {
                Next::Events(bytes) => {
                    self.timing.event(self.gateway.clock.now());
                    return Some(Ok(bytes));
                }
                Next::End => {
                    if let Some(begun) = self.begun.take() {
                        self.log_end(&begun);
                        self.gateway.answered(&self.call);
                        begun.finish(&self.gateway, AttemptOutcome::Served);
                    }
                    return None;
                }
                Next::Broken(failure) => {
                    if let Some(mut begun) = self.begun.take()
                        && failure != Failure::Stalled
                    {
                        begun.place.end(AttemptOutcome::Failed);
                        if self.timing.chunks == 0 {
                            self.gateway.suspect(&self.call, &begun.place.spec);
                        }
                    }
                    if !self.resume(failure).await {
                        return Some(Err(self.cut(failure)));
                    }
                }
            }
        }
    }

    fn log_end(&self, begun: &Begun) {
        let call = &self.call;
        let first = self.timing.first.unwrap_or_default().since(call.came);
        let whole = self.gateway.clock.now().since(call.came);
        log::info!(
            event = "streamed", request = call.name(), service = &*call.service,
            route = &*call.route.name, upstream = &*begun.place.spec.id, sent = self.tries.sent,
            running = begun.load.map(|load| load.running),
            waiting = begun.load.map(|load| load.waiting), chunks = self.timing.chunks,
            first_ms = first.0, pause_ms = self.timing.pause.0, after_ms = whole.0;
            "stream passed on whole"
        );
        measure::ended(call, End::Streamed);
        measure::took(call, Part::FirstEvent, first);
        measure::took(call, Part::Pause, self.timing.pause);
        measure::took(call, Part::Whole, whole);
    }

    fn cut(&self, failure: Failure) -> io::Error {
        log::info!(
            event = "cut", request = self.call.name(), service = &*self.call.service,
            reason = failure.label(), sent = self.tries.sent, chunks = self.timing.chunks,
            last = self.last, after_ms = self.gateway.clock.now().since(self.call.came).0;
            "stream cut off"
        );
        measure::ended(&self.call, End::Cut);
        metrics::counter!("sardinepin_streams_cut_total", "reason" => failure.label()).increment(1);
        io::Error::new(io::ErrorKind::ConnectionAborted, failure.label())
    }

    /// Reads until whole events have come, or the stream has ended.
    async fn read(&mut self) -> Next {
        loop {
            let frame = match self.frame().await {
                Ok(Some(frame)) => frame,
                Ok(None) if self.splitter.is_partial() => return Next::Broken(Failure::Broken),
                Ok(None) => return Next::End,
                Err(failure) => return Next::Broken(failure),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Err(_) => return Next::Broken(Failure::Broken),
                Ok(None) => {}
                Ok(Some(whole)) => {
                    let bytes = match self.resumed {
                        Some(last) => after(&whole, last),
                        None => whole.bytes,
                    };
                    self.last = whole.last.max(self.last);
                    if !bytes.is_empty() {
                        return Next::Events(bytes);
                    }
                }
            }
        }
    }

    async fn frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        let movable = is_movable(&self.call, &self.tries);
        let Some(begun) = &mut self.begun else {
            return Err(Failure::Broken);
        };
        let id = begun.place.id;
        let until = self.call.deadline;
        let frame = begun.body.frame();
        match self.gateway.wait(movable, id, until, frame).await? {
            None => Ok(None),
            Some(Ok(frame)) => {
                self.gateway.progressed(id);
                Ok(Some(frame))
            }
            Some(Err(_)) => Err(Failure::Broken),
        }
    }

    /// Goes on at another upstream; returns whether one goes on.
    async fn resume(&mut self, failure: Failure) -> bool {
        let gateway = Arc::clone(&self.gateway);
        let call = Arc::clone(&self.call);
        self.splitter.clear();
        let mut failure = failure;
        while call.resumable() && gateway.may_try_again(&call, &self.tries, failure) {
            let Ok(place) = gateway.place(&call, &mut self.tries).await else {
                return false;
            };
            let plan = Plan {
                until: call.deadline,
                last_event: self.last,
                movable: is_movable(&call, &self.tries),
            };
            match gateway.attempt(&call, place, plan).await {
                Ok(begun) if begun.parts.status == StatusCode::OK => {
                    self.begun = Some(begun);
                    self.resumed = self.last;
                    return true;
                }
                Ok(_) => failure = Failure::Broken,
                Err(why) => {
                    if why == Failure::NotSent {
                        self.tries.sent -= 1;
                    }
                    failure = why;
                }
            }
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.begun.is_some() {
            let now = self.gateway.clock.now();
            let after = now.since(self.call.came);
            let upstream = self.begun.as_ref().map(|begun| &*begun.place.spec.id);
            let silent = now.since(self.timing.last.max(self.call.came));
            measure::ended(&self.call, End::CallerLeft);
            log::info!(
                event = "caller_left", request = self.call.name(), service = &*self.call.service,
                upstream = upstream, chunks = self.timing.chunks, silent_ms = silent.0,
                after_ms = after.0;
                "caller left its stream"
            );
        }
    }
}
