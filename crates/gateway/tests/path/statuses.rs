//! Tests that only an answer to the request reaches its caller, whatever status an upstream sends.

use crate::util::{
    ScriptedUpstream, Step, header, request, send_raw, signed_response, start_gateway,
};

/// Returns a signed response, after which the connection ends.
fn script(status: u16) -> Vec<Step> {
    let mut steps = signed_response(&format!("{status:03} Odd"), "odd");
    steps.push(Step::Close);
    steps
}

fn status_of(response: &str) -> u16 {
    let status = response.split(' ').nth(1).unwrap_or_default();
    status.parse().unwrap_or_default()
}

/// Sends a request to an upstream for each of these statuses, with which it answers them; returns what the callers get.
async fn answers(path: &str, statuses: &[u16], fields: &str) -> Vec<String> {
    let scripts = statuses.iter().map(|status| script(*status)).collect();
    let upstream = ScriptedUpstream::start("one", scripts).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let mut answers = Vec::new();
    for (number, status) in statuses.iter().enumerate() {
        let text = request(path, &format!("r-{number}"), fields);
        answers.push(send_raw(running.caller_address(), &text).await);
        assert_eq!(upstream.count(), number + 1, "{path}, {status}");
    }
    answers
}

/// Guards against a status being passed on that answers no request, such as 000, 101 or 999, or none for the whole resource.
#[tokio::test]
async fn status_that_does_not_answer_the_request_is_not_passed_on() {
    let is_answer = |status: &u16| (200..=599).contains(status) && ![206, 304].contains(status);
    let statuses: Vec<u16> = (0..1_000).filter(|status| !is_answer(status)).collect();
    for path in ["/safe/a", "/once/a", "/stream/a"] {
        let answers = answers(path, &statuses, "").await;
        for (status, answer) in statuses.iter().zip(answers) {
            assert_eq!(status_of(&answer), 502, "{path}, {status}: {answer}");
            assert_eq!(header(&answer, "x-signature"), None, "{path}, {status}");
        }
    }
}

/// Guards against an answer that a request has asked for being withheld.
#[tokio::test]
async fn status_that_the_request_has_asked_for_is_passed_on() {
    for (status, fields) in [
        (206, "range: bytes=0-2\r\n"),
        (304, "if-none-match: \"a\"\r\n"),
        (304, "if-modified-since: Sun, 06 Dec 2026 00:00:00 GMT\r\n"),
    ] {
        let answers = answers("/once/a", &[status], fields).await;
        assert_eq!(status_of(&answers[0]), status, "{answers:?}");
    }
}
