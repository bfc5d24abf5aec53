//! Streams of events: passed on as they come, resumed where they may be, never joined wrongly.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_gateway::GroupMembership;

use crate::util::{
    ScriptedUpstream, Step, chunk, header, last_chunk, request, send_raw, start_gateway,
    stream_head,
};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

/// Returns the numbers of the events in an answer, in order.
fn numbers(answer: &str) -> Vec<u64> {
    answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
        .collect()
}

fn is_complete(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

#[tokio::test]
async fn a_stream_is_passed_on_whole() {
    let script = vec![
        stream_head(),
        chunk(&event(1)),
        chunk(&format!("{}id: 3", event(2))),
        chunk("\ndata: 3\n\n"),
        last_chunk(),
    ];
    let one = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let answer = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert_eq!(numbers(&answer), [1, 2, 3]);
    assert!(is_complete(&answer), "{answer}");
}

#[tokio::test]
async fn a_stream_that_breaks_goes_on_at_another_upstream_after_the_last_whole_event() {
    for end in [Step::Close, Step::Reset, last_chunk()] {
        // The second event is cut in its middle, so that it has to come again.
        let breaks = vec![stream_head(), chunk(&event(1)), chunk("id: 2\nda"), end];
        let goes_on = vec![
            stream_head(),
            chunk(&event(1)),
            chunk(&event(2)),
            chunk(&event(3)),
            last_chunk(),
        ];
        let one = ScriptedUpstream::start("one", vec![breaks]).await;
        let mut two = ScriptedUpstream::start("two", vec![goes_on]).await;
        // The nearer of two idle upstreams gets the request first.
        two.spec.zone = Arc::from("zone-b");
        let (running, _) = start_gateway(&[&one, &two]).await;
        let answer = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
        assert_eq!(numbers(&answer), [1, 2, 3], "{answer}");
        assert!(is_complete(&answer), "{answer}");
        assert_eq!(one.count(), 1);
        assert_eq!(header(&two.head(0), "last-event-id").as_deref(), Some("1"));
    }
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_does_not_look_complete() {
    let breaks = vec![stream_head(), chunk(&event(1)), Step::Close];
    let one = ScriptedUpstream::start("one", vec![breaks.clone()]).await;
    let two = ScriptedUpstream::start("two", vec![breaks]).await;
    let (running, _) = start_gateway(&[&one, &two]).await;
    let answer = send_raw(
        running.caller_address(),
        &request("/stream/fixed/a", "r", ""),
    )
    .await;
    assert_eq!(numbers(&answer), [1]);
    assert!(!is_complete(&answer), "{answer}");
    assert_eq!(one.count() + two.count(), 1);
}

#[tokio::test]
async fn a_stream_is_sent_to_no_more_upstreams_than_its_route_allows() {
    let breaks = vec![stream_head(), chunk(&event(1)), Step::Close];
    let mut upstreams = Vec::new();
    for id in ["one", "two", "three", "four"] {
        upstreams.push(ScriptedUpstream::start(id, vec![breaks.clone()]).await);
    }
    let (running, _) = start_gateway(&upstreams.iter().collect::<Vec<_>>()).await;
    let answer = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert!(!is_complete(&answer), "{answer}");
    let sent: usize = upstreams.iter().map(ScriptedUpstream::count).sum();
    assert_eq!(sent, 2);
}

#[tokio::test]
async fn a_caller_may_resume_a_stream_itself() {
    let script = vec![stream_head(), chunk(&event(5)), last_chunk()];
    let one = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let more = "last-event-id: 4\r\n";
    let answer = send_raw(running.caller_address(), &request("/stream/a", "r", more)).await;
    assert_eq!(numbers(&answer), [5]);
    assert_eq!(header(&one.head(0), "last-event-id").as_deref(), Some("4"));
}

/// A group that stalls falls silent on all its streams.
const STALL: Millis = Millis(1_200);

fn place(group: &str) -> Option<GroupMembership> {
    Some(GroupMembership {
        name: Arc::from(group),
        rank: 0,
        broken: false,
    })
}

#[tokio::test]
async fn a_stream_of_a_stalled_group_goes_on_at_another_group() {
    let stalls = vec![stream_head(), chunk(&event(1)), Step::Hang];
    let goes_on = vec![stream_head(), chunk(&event(2)), last_chunk()];
    let mut one = ScriptedUpstream::start("one", vec![stalls]).await;
    let mut two = ScriptedUpstream::start("two", vec![goes_on]).await;
    one.spec.group = place("g0");
    two.spec.group = place("g1");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let answer = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert_eq!(numbers(&answer), [1, 2], "{answer}");
    assert!(is_complete(&answer), "{answer}");
}

/// A day of our own found this one: streams of a stalled group were given up when no retry was
/// left, though the group went on a moment later.
#[tokio::test]
async fn a_stream_of_a_stalled_group_stays_if_it_may_not_be_sent_again() {
    let stalls = vec![
        stream_head(),
        chunk(&event(1)),
        Step::Pause(STALL),
        chunk(&event(2)),
        last_chunk(),
    ];
    let mut one = ScriptedUpstream::start("one", vec![stalls]).await;
    let mut two = ScriptedUpstream::start("two", vec![vec![Step::Hang]]).await;
    one.spec.group = place("g0");
    two.spec.group = place("g1");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let answer = send_raw(
        running.caller_address(),
        &request("/stream/single/a", "r", ""),
    )
    .await;
    assert_eq!(numbers(&answer), [1, 2], "{answer}");
    assert!(is_complete(&answer), "{answer}");
    assert_eq!(two.count(), 0);
}
