//! Tests of event streams: forwarded as they arrive, resumed where allowed, never with lost or
//! repeated events.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_gateway::GroupMembership;

use crate::util::{
    ScriptedUpstream, Step, chunk, header, last_chunk, not_run_response, request, send_raw,
    start_gateway, stream_head, wait_for,
};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

/// Returns the numbers of the events in a response, in order.
fn numbers(response: &str) -> Vec<u64> {
    response
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
        .collect()
}

fn is_complete(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

#[tokio::test]
async fn stream_is_forwarded_completely() {
    let script = vec![
        stream_head(),
        chunk(&event(1)),
        chunk(&format!("{}id: 3", event(2))),
        chunk("\ndata: 3\n\n"),
        last_chunk(),
    ];
    let one = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert_eq!(numbers(&response), [1, 2, 3]);
    assert!(is_complete(&response), "{response}");
}

#[tokio::test]
async fn broken_stream_resumes_at_another_upstream_after_the_last_complete_event() {
    for end in [Step::Close, Step::Reset, last_chunk()] {
        // The second event is incomplete, so it has to be sent again.
        let breaks = vec![stream_head(), chunk(&event(1)), chunk("id: 2\nda"), end];
        let resumes = vec![
            stream_head(),
            chunk(&event(1)),
            chunk(&event(2)),
            chunk(&event(3)),
            last_chunk(),
        ];
        let one = ScriptedUpstream::start("one", vec![breaks]).await;
        let mut two = ScriptedUpstream::start("two", vec![resumes]).await;
        // Of two idle upstreams, the one in the gateway's zone gets the request.
        two.spec.zone = Arc::from("zone-b");
        let (running, _) = start_gateway(&[&one, &two]).await;
        let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
        assert_eq!(numbers(&response), [1, 2, 3], "{response}");
        assert!(is_complete(&response), "{response}");
        assert_eq!(one.count(), 1);
        assert_eq!(header(&two.head(0), "last-event-id").as_deref(), Some("1"));
    }
}

#[tokio::test]
async fn broken_stream_that_is_not_resumable_looks_incomplete() {
    let breaks = vec![stream_head(), chunk(&event(1)), Step::Close];
    let one = ScriptedUpstream::start("one", vec![breaks.clone()]).await;
    let two = ScriptedUpstream::start("two", vec![breaks]).await;
    let (running, _) = start_gateway(&[&one, &two]).await;
    let response = send_raw(
        running.caller_address(),
        &request("/stream/fixed/a", "r", ""),
    )
    .await;
    assert_eq!(numbers(&response), [1]);
    assert!(!is_complete(&response), "{response}");
    assert_eq!(one.count() + two.count(), 1);
}

#[tokio::test]
async fn stream_attempts_are_limited_by_the_route() {
    let breaks = vec![stream_head(), chunk(&event(1)), Step::Close];
    let mut upstreams = Vec::new();
    for id in ["one", "two", "three", "four"] {
        upstreams.push(ScriptedUpstream::start(id, vec![breaks.clone()]).await);
    }
    let (running, _) = start_gateway(&upstreams.iter().collect::<Vec<_>>()).await;
    let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert!(!is_complete(&response), "{response}");
    let sent: usize = upstreams.iter().map(ScriptedUpstream::count).sum();
    assert_eq!(sent, 2);
}

#[tokio::test]
async fn caller_can_resume_a_stream() {
    let script = vec![stream_head(), chunk(&event(5)), last_chunk()];
    let one = ScriptedUpstream::start("one", vec![script]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let headers = "last-event-id: 4\r\n";
    let response = send_raw(
        running.caller_address(),
        &request("/stream/a", "r", headers),
    )
    .await;
    assert_eq!(numbers(&response), [5]);
    assert_eq!(header(&one.head(0), "last-event-id").as_deref(), Some("4"));
}

/// How long a stalled group sends nothing on all its streams.
const STALL_TIME: Millis = Millis(1_200);

fn membership(group: &str) -> Option<GroupMembership> {
    Some(GroupMembership {
        name: Arc::from(group),
        rank: 0,
        broken: false,
    })
}

#[tokio::test]
async fn stream_of_a_stalled_group_resumes_at_another_group() {
    let stalls = vec![stream_head(), chunk(&event(1)), Step::Hang];
    let resumes = vec![stream_head(), chunk(&event(2)), last_chunk()];
    let mut one = ScriptedUpstream::start("one", vec![stalls]).await;
    let mut two = ScriptedUpstream::start("two", vec![resumes]).await;
    one.spec.group = membership("g0");
    two.spec.group = membership("g1");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert_eq!(numbers(&response), [1, 2], "{response}");
    assert!(is_complete(&response), "{response}");
}

/// Guards against giving up a stream of a stalled group when no retry is left, although the group
/// continues a moment later.
#[tokio::test]
async fn stream_of_a_stalled_group_stays_if_no_attempt_is_left() {
    let stalls = vec![
        stream_head(),
        chunk(&event(1)),
        Step::Pause(STALL_TIME),
        chunk(&event(2)),
        last_chunk(),
    ];
    let mut one = ScriptedUpstream::start("one", vec![stalls]).await;
    let mut two = ScriptedUpstream::start("two", vec![vec![Step::Hang]]).await;
    one.spec.group = membership("g0");
    two.spec.group = membership("g1");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let response = send_raw(
        running.caller_address(),
        &request("/stream/single/a", "r", ""),
    )
    .await;
    assert_eq!(numbers(&response), [1, 2], "{response}");
    assert!(is_complete(&response), "{response}");
    assert_eq!(two.count(), 0);
}

/// Guards against giving up a stream of a stalled group for an upstream that then turns it away, before or after its first event.
#[tokio::test]
async fn stream_of_a_stalled_group_stays_if_the_other_upstream_turns_it_away() {
    let pause = Step::Pause(STALL_TIME);
    let begun = vec![stream_head(), chunk(&event(1)), pause.clone()];
    let rest = [chunk(&event(2)), last_chunk()];
    let late = vec![pause, stream_head(), chunk(&event(1))];
    for beginning in [begun, late] {
        let script = [beginning, rest.to_vec()].concat();
        let mut one = ScriptedUpstream::start("one", vec![script]).await;
        let mut two = ScriptedUpstream::start("two", vec![not_run_response()]).await;
        one.spec.group = membership("g0");
        two.spec.group = membership("g1");
        two.spec.zone = Arc::from("zone-b");
        let (running, _) = start_gateway(&[&one, &two]).await;
        let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
        assert_eq!(numbers(&response), [1, 2], "{response}");
        assert!(is_complete(&response), "{response}");
        assert_eq!((one.count(), two.count()), (1, 1));
    }
}

/// Guards against losing the upstream that a stream moves to, when the stalled one breaks off before that one has answered.
#[tokio::test]
async fn stream_moves_although_its_stalled_upstream_breaks_off_meanwhile() {
    let breaks = vec![
        stream_head(),
        chunk(&event(1)),
        Step::Pause(STALL_TIME),
        Step::Reset,
    ];
    let answers = vec![
        Step::Pause(STALL_TIME),
        stream_head(),
        chunk(&event(2)),
        last_chunk(),
    ];
    let mut one = ScriptedUpstream::start("one", vec![breaks]).await;
    let mut two = ScriptedUpstream::start("two", vec![answers]).await;
    one.spec.group = membership("g0");
    two.spec.group = membership("g1");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let response = send_raw(running.caller_address(), &request("/stream/a", "r", "")).await;
    assert_eq!(numbers(&response), [1, 2], "{response}");
    assert!(is_complete(&response), "{response}");
    assert_eq!((one.count(), two.count()), (1, 1));
}

/// A rank that hung kept each request until its caller left.
#[tokio::test]
async fn stream_moves_from_a_rank_that_does_not_answer_while_others_of_its_group_do() {
    let answers = vec![stream_head(), chunk(&event(1)), last_chunk()];
    let mut one = ScriptedUpstream::start("one", vec![vec![Step::Hang]]).await;
    let mut two = ScriptedUpstream::start("two", vec![answers]).await;
    one.spec.group = membership("g0");
    two.spec.group = membership("g0");
    two.spec.zone = Arc::from("zone-b");
    let (running, _) = start_gateway(&[&one, &two]).await;
    let address = running.caller_address();
    let first =
        tokio::spawn(async move { send_raw(address, &request("/stream/a", "first", "")).await });
    wait_for(async || one.count() == 1).await;
    wait_for(async || {
        let later = request("/stream/a", "later", "");
        tokio::spawn(async move { send_raw(address, &later).await });
        first.is_finished()
    })
    .await;
    let response = first.await.unwrap();
    assert_eq!(numbers(&response), [1], "{response}");
    assert!(is_complete(&response), "{response}");
}

/// A slow stream is not cut, however long it pauses, while its deadline allows.
#[tokio::test]
async fn stream_that_is_slow_but_sound_is_forwarded_whole() {
    let mut script = vec![stream_head()];
    for number in 1..=5 {
        script.push(Step::Pause(Millis(700)));
        script.push(chunk(&event(number)));
    }
    script.push(last_chunk());
    let slow = ScriptedUpstream::start("slow", vec![script]).await;
    let (running, _) = start_gateway(&[&slow]).await;
    let call = request("/stream/a", "r", "x-deadline-ms: 15000\r\n");
    let response = send_raw(running.caller_address(), &call).await;
    assert_eq!(numbers(&response), [1, 2, 3, 4, 5]);
    assert!(is_complete(&response), "{response}");
    assert_eq!(slow.count(), 1);
}

/// Bytes that never make an event do not keep a stream open beyond its deadline.
#[tokio::test]
async fn stream_that_sends_a_byte_now_and_then_ends_at_its_deadline() {
    let mut script = vec![stream_head()];
    for _ in 0..100 {
        script.push(chunk(":"));
        script.push(Step::Pause(Millis(100)));
    }
    let stalled = ScriptedUpstream::start("stalled", vec![script]).await;
    let (running, _) = start_gateway(&[&stalled]).await;
    let clock = Clock::start();
    let call = request("/stream/a", "r", "x-deadline-ms: 1500\r\n");
    let response = send_raw(running.caller_address(), &call).await;
    assert!(clock.now() < Millis(3_000), "{}", clock.now());
    assert!(!is_complete(&response), "{response}");
}
