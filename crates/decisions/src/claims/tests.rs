//! Tests of the claim table.

use assert_matches::assert_matches;
use bytes::Bytes;
use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest, ErrorKind};

use super::{CachedResponse, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, StoredClaim};

const OWN: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const NONCE: u64 = 40;

fn key() -> ClaimKey {
    ClaimKey {
        organisation: "o".to_owned(),
        service: "s".to_owned(),
        key: "k".to_owned(),
    }
}

fn digest() -> Digest {
    Digest::of(&[b"body"])
}

fn stored_claim(claimer: Incarnation, nonce: u64) -> StoredClaim {
    StoredClaim {
        claimer,
        nonce,
        digest: digest(),
        revision: Revision(5),
        response: None,
    }
}

/// Returns a table whose one key is being claimed with this nonce.
fn claiming_table(nonce: u64) -> ClaimTable {
    let mut claims = ClaimTable::new(ClaimSettings::default(), OWN);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    claims.handle(Millis::ZERO, &key(), KeyEvent::WriteClaim(nonce));
    claims
}

fn response() -> CachedResponse {
    CachedResponse {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    }
}

#[test]
fn at_most_once_key_runs_once_and_is_replayed() {
    let mut claims = claiming_table(NONCE);
    assert_eq!(claims.handle_claim_grant(&key()), ClaimStep::Run);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Wait);
    assert_matches!(claims.handle_claim_grant(&key()), ClaimStep::Unknown(_));
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(response()));
    assert_eq!(
        claims.admit(&key(), digest()),
        ClaimStep::Replay(response())
    );
}

#[test]
fn at_most_once_reused_key_with_another_body_is_refused() {
    let mut claims = claiming_table(NONCE);
    claims.handle_claim_grant(&key());
    let other = Digest::of(&[b"other"]);
    assert_eq!(
        claims.admit(&key(), other),
        ClaimStep::Refuse(ErrorKind::KeyReused)
    );
}

/// The store wrote the claim but its response was lost, so the attempt counted as not claimed.
#[test]
fn at_most_once_claim_with_lost_response_may_run_later() {
    let mut claims = claiming_table(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.handle_stored_claim(&key(), &stored_claim(OWN, NONCE)),
        ClaimStep::Run
    );
}

/// A repeat of a request whose record was removed must not take the stored claim for an unused one.
#[test]
fn at_most_once_key_with_removed_record_never_runs_again() {
    let mut claims = ClaimTable::new(
        ClaimSettings {
            keep_ms: 10,
            ..ClaimSettings::default()
        },
        OWN,
    );
    claims.admit(&key(), digest());
    claims.handle(Millis::ZERO, &key(), KeyEvent::WriteClaim(NONCE));
    claims.handle_claim_grant(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(response()));
    claims.sweep(Millis(10));
    assert!(claims.is_empty());
    // The platform is unavailable at the first repeat and available at the second.
    claims.admit(&key(), digest());
    claims.handle(Millis(11), &key(), KeyEvent::WriteClaim(NONCE + 1));
    claims.handle(Millis(11), &key(), KeyEvent::NotClaimed);
    claims.admit(&key(), digest());
    assert_matches!(
        claims.handle_stored_claim(&key(), &stored_claim(OWN, NONCE)),
        ClaimStep::Unknown(ErrorKind::AnswerGone)
    );
}

#[test]
fn at_most_once_released_key_must_be_claimed_again() {
    let mut claims = claiming_table(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Released);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.handle_stored_claim(&key(), &stored_claim(OWN, NONCE)),
        ClaimStep::TakeOver(Revision(5))
    );
}

#[test]
fn at_most_once_running_key_is_not_released() {
    let mut claims = claiming_table(NONCE);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Claiming);
    claims.handle_claim_grant(&key());
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Running);
    claims.handle(Millis::ZERO, &key(), KeyEvent::LoseResponse);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Unknown);
}

#[test]
fn at_most_once_claim_of_another_process_is_queried() {
    let mut claims = claiming_table(NONCE);
    assert_eq!(
        claims.handle_stored_claim(&key(), &stored_claim(OTHER, 7)),
        ClaimStep::AskClaimer
    );
    let next = claims.handle_claim_state(&ClaimState::Released, Revision(5));
    assert_eq!(next, ClaimStep::TakeOver(Revision(5)));
    assert_eq!(claims.answer_query(&key(), OTHER), ClaimState::Unknown);
}

#[test]
fn not_run_key_may_be_claimed_and_run_again() {
    let mut claims = claiming_table(NONCE);
    claims.handle_claim_grant(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotRun);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.handle_stored_claim(&key(), &stored_claim(OWN, NONCE)),
        ClaimStep::Run
    );
}

#[test]
fn full_table_refuses_another_key() {
    let mut claims = ClaimTable::new(
        ClaimSettings {
            keys_max: 1,
            ..ClaimSettings::default()
        },
        OWN,
    );
    claims.admit(&key(), digest());
    let other = ClaimKey {
        key: "k2".to_owned(),
        ..key()
    };
    assert_eq!(
        claims.admit(&other, digest()),
        ClaimStep::Refuse(ErrorKind::ClaimsFull)
    );
}
