//! Tests of what `ctl` makes of arguments and answers.

use sardinepin_common::{Millis, Revision};
use serde_json::json;

use super::command::{ctl_command, wait_ms};
use super::failure::Failure;
use super::order::Order;
use super::revision_of;

fn order(words: &[&str]) -> Result<Order, Failure> {
    let line = ["ctl", "--token-file", "t"]
        .into_iter()
        .chain(words.iter().copied());
    Order::read(&ctl_command().try_get_matches_from(line).unwrap())
}

fn path(words: &[&str]) -> String {
    let call = order(words).and_then(|order| order.call()).unwrap();
    format!("{} {}", call.method, call.path)
}

#[test]
fn the_command_is_well_formed() {
    ctl_command().debug_assert();
}

#[test]
fn orders_become_calls() {
    assert_eq!(path(&["status"]), "GET /v1/status");
    assert_eq!(path(&["rules", "get"]), "GET /v1/rules");
    assert_eq!(
        path(&["upstream", "drain", "a-1"]),
        "POST /v1/upstreams/a-1/drain"
    );
    assert_eq!(
        path(&["groups", "release", "g"]),
        "POST /v1/groups/g/release"
    );
    assert_eq!(
        path(&["quarantine", "lift", "00ff"]),
        "DELETE /v1/quarantine/00ff"
    );
    let strange = order(&["upstream", "drain", "a/../b"]).unwrap();
    assert_eq!(strange.call().map(|call| call.path).unwrap_err().code(), 2);
    let header = [
        "rules",
        "test",
        "--organisation",
        "a",
        "--path",
        "/",
        "--header",
        "none",
    ];
    assert_eq!(order(&header).unwrap_err().code(), 2);
}

#[test]
fn waiting_is_asked_for_by_the_innermost_command() {
    let asked = |words: &[&str]| {
        let line = ["ctl", "--token-file", "t"]
            .into_iter()
            .chain(words.iter().copied());
        wait_ms(&ctl_command().try_get_matches_from(line).unwrap())
    };
    assert_eq!(asked(&["status"]), None);
    assert_eq!(asked(&["upstream", "drain", "a"]), None);
    assert_eq!(
        asked(&["upstream", "drain", "a", "--wait"]),
        Some(Millis(30_000))
    );
    let short = ["upstream", "drain", "a", "--wait", "--wait-ms", "5"];
    assert_eq!(asked(&short), Some(Millis(5)));
}

#[test]
fn the_revision_of_several_writes_is_the_last() {
    assert_eq!(revision_of(&json!({ "revision": 3 })), Revision(3));
    assert_eq!(
        revision_of(&json!([{ "revision": 3 }, { "revision": 9 }])),
        Revision(9)
    );
    assert_eq!(revision_of(&json!([])), Revision(0));
}
