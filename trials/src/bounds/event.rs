//! The events of a simulated day.

use crate::bounds::notice::Notice;
use crate::bounds::record::RequestId;
use crate::bounds::sender::Outcome;
use crate::bounds::upstreams::{RunEnd, ServiceIndex};

/// Something that happens at a time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// A caller sends a request to a service; it may come again, and others follow it.
    Call {
        service: ServiceIndex,
        is_first: bool,
    },
    /// A request reaches a sender.
    Request {
        sender: usize,
        request: RequestId,
        service: ServiceIndex,
    },
    /// A sender sends a request that it has held since it chose the upstream.
    Dispatch(Attempt),
    /// A request reaches the instance of an upstream.
    Arrive(Attempt),
    /// An upstream reads it.
    Read(Attempt),
    /// A sender learns that an upstream has begun to answer.
    Progress(Attempt, Notice),
    /// An upstream ends a request.
    End(Attempt, RunEnd),
    /// A sender learns how an attempt ended.
    Outcome(Attempt, Outcome, Notice),
    /// A sender asks an agent about a group.
    Query { sender: usize, group: usize },
    /// A request for permits, by its number, reaches an agent.
    PermitRequest { sender: usize, ask: u64 },
    /// The reply to it, or its absence, reaches the sender.
    PermitReply { sender: usize, ask: u64 },
    /// Senders look after their queues.
    Tick,
    /// Senders look for stalled attempts.
    StallCheck,
    /// A disturbance begins.
    Begin(usize),
    /// An evacuation begins or ends in the store.
    ChangeEvacuations,
    /// A sender learns which zones are evacuated.
    ReadEvacuations(usize),
    /// A sender starts again.
    Start(usize),
    /// A sender reads the list of upstreams again.
    ReadList(usize),
}

/// An attempt on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) sender: usize,
    pub(super) incarnation: u32,
    pub(super) attempt: u64,
    pub(super) request: RequestId,
    pub(super) upstream: usize,
}
