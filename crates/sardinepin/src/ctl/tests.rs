//! Tests of the parsing of arguments and of responses.

use sardinepin_common::{Millis, Revision};
use serde_json::json;

use super::arguments::{ctl_command, wait_timeout};
use super::change_revision;
use super::error::CtlError;
use super::operation::Operation;

fn operation(words: &[&str]) -> Result<Operation, CtlError> {
    let line = ["ctl", "--token-file", "t"]
        .into_iter()
        .chain(words.iter().copied());
    Operation::from_arguments(&ctl_command().try_get_matches_from(line).unwrap())
}

fn request_line(words: &[&str]) -> String {
    let request = operation(words)
        .and_then(|operation| operation.request())
        .unwrap();
    format!("{} {}", request.method, request.path)
}

#[test]
fn command_definition_is_valid() {
    ctl_command().debug_assert();
}

#[test]
fn operations_map_to_requests() {
    assert_eq!(request_line(&["status"]), "GET /v1/status");
    assert_eq!(request_line(&["rules", "get"]), "GET /v1/rules");
    assert_eq!(
        request_line(&["upstream", "drain", "a-1"]),
        "POST /v1/upstreams/a-1/drain"
    );
    assert_eq!(
        request_line(&["groups", "release", "g"]),
        "POST /v1/groups/g/release"
    );
    assert_eq!(
        request_line(&["quarantine", "lift", "00ff"]),
        "DELETE /v1/quarantine/00ff"
    );
    let unsafe_name = operation(&["upstream", "drain", "a/../b"]).unwrap();
    assert_eq!(
        unsafe_name
            .request()
            .map(|request| request.path)
            .unwrap_err()
            .exit_code(),
        2
    );
    let invalid_header = [
        "rules",
        "test",
        "--organisation",
        "a",
        "--path",
        "/",
        "--header",
        "none",
    ];
    assert_eq!(operation(&invalid_header).unwrap_err().exit_code(), 2);
}

#[test]
fn wait_timeout_is_read_from_the_innermost_subcommand() {
    let timeout = |words: &[&str]| {
        let line = ["ctl", "--token-file", "t"]
            .into_iter()
            .chain(words.iter().copied());
        wait_timeout(&ctl_command().try_get_matches_from(line).unwrap())
    };
    assert_eq!(timeout(&["status"]), None);
    assert_eq!(timeout(&["upstream", "drain", "a"]), None);
    assert_eq!(
        timeout(&["upstream", "drain", "a", "--wait"]),
        Some(Millis(30_000))
    );
    let short = ["upstream", "drain", "a", "--wait", "--wait-ms", "5"];
    assert_eq!(timeout(&short), Some(Millis(5)));
}

#[test]
fn change_revision_is_the_highest_of_several_writes() {
    assert_eq!(change_revision(&json!({ "revision": 3 })), Revision(3));
    assert_eq!(
        change_revision(&json!([{ "revision": 3 }, { "revision": 9 }])),
        Revision(9)
    );
    assert_eq!(change_revision(&json!([])), Revision(0));
}
