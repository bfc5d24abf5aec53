//! Tests of the table of keys.

use assert_matches::assert_matches;
use bytes::Bytes;
use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest, ErrorKind};

use super::{CachedAnswer, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, StoredClaim};

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

fn claim(claimer: Incarnation, nonce: u64) -> StoredClaim {
    StoredClaim {
        claimer,
        nonce,
        digest: digest(),
        revision: Revision(5),
        answer: None,
    }
}

fn claiming(nonce: u64) -> ClaimTable {
    let mut claims = ClaimTable::new(ClaimSettings::default(), OWN);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    claims.handle(Millis::ZERO, &key(), KeyEvent::WriteClaim(nonce));
    claims
}

fn answer() -> CachedAnswer {
    CachedAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    }
}

#[test]
fn at_most_once_a_key_runs_once_and_is_replayed() {
    let mut claims = claiming(NONCE);
    assert_eq!(claims.claim_granted(&key()), ClaimStep::Run);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Wait);
    assert_matches!(claims.claim_granted(&key()), ClaimStep::Unknown(_));
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(answer()));
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Replay(answer()));
}

#[test]
fn at_most_once_another_body_is_refused() {
    let mut claims = claiming(NONCE);
    claims.claim_granted(&key());
    let other = Digest::of(&[b"other"]);
    assert_eq!(
        claims.admit(&key(), other),
        ClaimStep::Refuse(ErrorKind::KeyReused)
    );
}

#[test]
fn at_most_once_lost_claim_that_took_effect_runs_later() {
    let mut claims = claiming(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.claim_found(&key(), &claim(OWN, NONCE)),
        ClaimStep::Run
    );
}

#[test]
fn at_most_once_forgotten_run_never_runs_again() {
    let mut claims = ClaimTable::new(
        ClaimSettings {
            keep_ms: 10,
            ..ClaimSettings::default()
        },
        OWN,
    );
    claims.admit(&key(), digest());
    claims.handle(Millis::ZERO, &key(), KeyEvent::WriteClaim(NONCE));
    claims.claim_granted(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(answer()));
    claims.sweep(Millis(10));
    assert!(claims.is_empty());
    // The platform is out at the first repeat, and there again at the second.
    claims.admit(&key(), digest());
    claims.handle(Millis(11), &key(), KeyEvent::WriteClaim(NONCE + 1));
    claims.handle(Millis(11), &key(), KeyEvent::NotClaimed);
    claims.admit(&key(), digest());
    assert_matches!(
        claims.claim_found(&key(), &claim(OWN, NONCE)),
        ClaimStep::Unknown(ErrorKind::AnswerGone)
    );
}

#[test]
fn at_most_once_released_key_is_claimed_anew() {
    let mut claims = claiming(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Released);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.claim_found(&key(), &claim(OWN, NONCE)),
        ClaimStep::TakeOver(Revision(5))
    );
}

#[test]
fn at_most_once_running_key_is_not_released() {
    let mut claims = claiming(NONCE);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Claiming);
    claims.claim_granted(&key());
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Running);
    claims.handle(Millis::ZERO, &key(), KeyEvent::LoseAnswer);
    assert_eq!(claims.answer_query(&key(), OWN), ClaimState::Unknown);
}

#[test]
fn at_most_once_claim_of_another_is_asked_about() {
    let mut claims = claiming(NONCE);
    assert_eq!(
        claims.claim_found(&key(), &claim(OTHER, 7)),
        ClaimStep::AskClaimer
    );
    let next = claims.claimer_answered(&ClaimState::Released, Revision(5));
    assert_eq!(next, ClaimStep::TakeOver(Revision(5)));
    assert_eq!(claims.answer_query(&key(), OTHER), ClaimState::Unknown);
}

#[test]
fn not_run_call_may_be_claimed_again() {
    let mut claims = claiming(NONCE);
    claims.claim_granted(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotRun);
    assert_eq!(claims.admit(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.claim_found(&key(), &claim(OWN, NONCE)),
        ClaimStep::Run
    );
}

#[test]
fn full_table_refuses() {
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
