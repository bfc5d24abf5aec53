//! Tests that each place at an upstream is given back, wherever its request ends.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_util::poll;
use sardinepin_common::{Clock, Millis};
use sardinepin_decisions::direct::{
    AllowedRegions, BalancerSettings, Decision, PlacementRequest, UpstreamId, UpstreamSpec,
};

use super::{Dispatcher, UpstreamPermit};

/// The requests that the upstream of these tests runs at once.
const SLOTS: u32 = 2;

fn dispatcher() -> Arc<Dispatcher> {
    let dispatcher = Dispatcher::new(Clock::start(), BalancerSettings::default());
    dispatcher.replace_upstreams(&[UpstreamSpec {
        id: Arc::from("one"),
        started_at: 1,
        service: Arc::from("app"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Arc::from("a"),
        slots: SLOTS,
        draining: false,
        cold_remaining: None,
        group: None,
    }]);
    dispatcher
}

fn request(dispatcher: &Dispatcher) -> PlacementRequest {
    PlacementRequest {
        number: dispatcher.next_request_number(),
        service: Arc::from("app"),
        priority: 1,
        latency_objective: Millis(10_000),
        deadline: dispatcher.clock.now() + Millis(20_000),
        tried: Vec::new(),
        regions: AllowedRegions::default(),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
    }
}

/// Acquires places until a request has to wait; returns the permits.
async fn fill(dispatcher: &Arc<Dispatcher>) -> Vec<UpstreamPermit> {
    let mut permits = Vec::new();
    loop {
        let mut waiting = pin!(dispatcher.acquire(request(dispatcher)));
        match poll!(waiting.as_mut()) {
            std::task::Poll::Ready(permit) => permits.push(permit.unwrap()),
            std::task::Poll::Pending => return permits,
        }
    }
}

fn in_flight(id: UpstreamId, dispatcher: &Dispatcher) -> u32 {
    dispatcher.with_balancer(|balancer, _| balancer.upstreams().get(id).unwrap().in_flight)
}

/// Guards against a place being lost whose request is given it and dropped before its task takes it up.
#[tokio::test]
async fn place_of_a_request_that_is_dropped_before_it_takes_it_up_is_given_back() {
    let dispatcher = dispatcher();
    let mut permits = fill(&dispatcher).await;
    let id = permits[0].id;
    let all = in_flight(id, &dispatcher);
    for _ in 0..20 {
        let mut waiting = Box::pin(dispatcher.acquire(request(&dispatcher)));
        assert!(poll!(waiting.as_mut()).is_pending());
        // The place goes to the waiting request, which is not polled again.
        permits.pop();
        drop(waiting);
        assert_eq!(in_flight(id, &dispatcher), all - 1);
        permits.push(dispatcher.acquire(request(&dispatcher)).await.unwrap());
    }
}

/// Guards against a place being lost or given twice wherever the acquisition of one is cancelled.
#[tokio::test]
async fn places_are_counted_right_whenever_requests_are_dropped() {
    let dispatcher = dispatcher();
    let mut permits = fill(&dispatcher).await;
    let id = permits[0].id;
    let all = in_flight(id, &dispatcher);
    let mut waiting: Vec<_> = (0..6)
        .map(|_| Box::pin(dispatcher.acquire(request(&dispatcher))))
        .collect();
    for one in &mut waiting {
        assert!(poll!(one.as_mut()).is_pending());
    }
    // Of those that wait, some are dropped before a place is free, some after they have been given one.
    drop(waiting.remove(4));
    permits.pop();
    drop(waiting.remove(0));
    permits.pop();
    assert_eq!(
        in_flight(id, &dispatcher),
        all - 2 + waiting_served(&mut waiting, &mut permits).await
    );
    drop(waiting);
    assert_eq!(in_flight(id, &dispatcher) as usize, permits.len());
    let held = dispatcher.with_balancer(|balancer, _| balancer.upstreams().places_held());
    let in_use = dispatcher.permits.load(Ordering::Relaxed);
    assert_eq!((held as usize, in_use), (permits.len(), permits.len()));
}

/// Polls waiting requests once; moves their permits to `permits` and returns how many there were.
async fn waiting_served<F>(
    waiting: &mut [std::pin::Pin<Box<F>>],
    permits: &mut Vec<UpstreamPermit>,
) -> u32
where
    F: Future<Output = Result<UpstreamPermit, Decision>>,
{
    let mut served = 0;
    for one in waiting {
        if let std::task::Poll::Ready(permit) = poll!(one.as_mut()) {
            permits.push(permit.unwrap());
            served += 1;
        }
    }
    served
}
