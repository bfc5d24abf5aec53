//! Tests of the tokens file and of routing.

use http::Method;
use sardinepin_protocol::UpstreamState;

use super::access::{AccessRole, Tokens};
use super::routes::{ApiCall, Route, route};

#[test]
fn tokens_are_parsed_by_line_and_invalid_lines_skipped() {
    let tokens = Tokens::parse(
        "# comment\n\nread-only 0123456789abcdef\n operator\t0123456789abcdeg anna \n\
         owner 0123456789abcdeh\noperator short\noperator 0123456789abcdei a b\n",
    );
    let owner_of = |token| {
        tokens
            .find_owner(token)
            .map(|found| (found.role, found.name))
    };
    let reader = (AccessRole::ReadOnly, "read-only".to_owned());
    assert_eq!(owner_of("0123456789abcdef"), Some(reader));
    let anna = (AccessRole::Operator, "anna".to_owned());
    assert_eq!(owner_of("0123456789abcdeg"), Some(anna));
    assert_eq!(owner_of("0123456789abcdeh"), None);
    assert_eq!(owner_of("0123456789abcdei"), None);
    assert_eq!(owner_of("short"), None);
    assert_eq!(owner_of(""), None);
}

#[test]
fn routes_match_exact_paths_only() {
    let get = |path| route(&Method::GET, path);
    assert_eq!(get("/livez"), Some(Route::Livez));
    assert_eq!(get("/v1/rules"), Some(Route::Call(ApiCall::GetRules)));
    assert_eq!(get("/v1/rules/"), None);
    assert_eq!(get("/v1"), None);
    let evacuate = ApiCall::Evacuate("a".to_owned(), true);
    assert_eq!(evacuate.required_role(), AccessRole::Operator);
    assert_eq!(
        route(&Method::PUT, "/v1/evacuations/a"),
        Some(Route::Call(evacuate))
    );
    assert_eq!(get("/v1/upstreams/a/drain"), None);
    assert_eq!(
        route(&Method::POST, "/v1/upstreams/a/drain"),
        Some(Route::Call(ApiCall::SetState(
            "a".to_owned(),
            UpstreamState::Draining
        )))
    );
}
