//! Tests of the table of keys.

use assert_matches::assert_matches;
use bytes::Bytes;
use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest, ErrorKind};

use super::{ClaimSettings, ClaimStep, Claims, FoundClaim, KeptAnswer, KeyEvent};

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

fn claim(claimer: Incarnation, nonce: u64) -> FoundClaim {
    FoundClaim {
        claimer,
        nonce,
        digest: digest(),
        revision: Revision(5),
        answer: None,
    }
}

fn claiming(nonce: u64) -> Claims {
    let mut claims = Claims::new(ClaimSettings::default(), OWN);
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Create);
    claims.handle(Millis::ZERO, &key(), KeyEvent::Write(nonce));
    claims
}

fn answer() -> KeptAnswer {
    KeptAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    }
}

#[test]
fn at_most_once_a_key_runs_once_and_is_replayed() {
    let mut claims = claiming(NONCE);
    assert_eq!(claims.claimed(&key()), ClaimStep::Run);
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Wait);
    assert_matches!(claims.claimed(&key()), ClaimStep::Unknown(_));
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(answer()));
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Replay(answer()));
}

#[test]
fn at_most_once_another_body_is_refused() {
    let mut claims = claiming(NONCE);
    claims.claimed(&key());
    let other = Digest::of(&[b"other"]);
    assert_eq!(
        claims.open(&key(), other),
        ClaimStep::Refuse(ErrorKind::KeyReused)
    );
}

#[test]
fn at_most_once_lost_claim_that_took_effect_runs_later() {
    let mut claims = claiming(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Create);
    assert_eq!(claims.found(&key(), &claim(OWN, NONCE)), ClaimStep::Run);
}

#[test]
fn at_most_once_forgotten_run_never_runs_again() {
    let mut claims = Claims::new(
        ClaimSettings {
            keep_ms: 10,
            ..ClaimSettings::default()
        },
        OWN,
    );
    claims.open(&key(), digest());
    claims.handle(Millis::ZERO, &key(), KeyEvent::Write(NONCE));
    claims.claimed(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::Finish(answer()));
    claims.sweep(Millis(10));
    assert!(claims.is_empty());
    // The platform is out at the first repeat, and there again at the second.
    claims.open(&key(), digest());
    claims.handle(Millis(11), &key(), KeyEvent::Write(NONCE + 1));
    claims.handle(Millis(11), &key(), KeyEvent::NotClaimed);
    claims.open(&key(), digest());
    assert_matches!(
        claims.found(&key(), &claim(OWN, NONCE)),
        ClaimStep::Unknown(ErrorKind::AnswerGone)
    );
}

#[test]
fn at_most_once_released_key_is_claimed_anew() {
    let mut claims = claiming(NONCE);
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotClaimed);
    assert_eq!(claims.asked(&key(), OWN), ClaimState::Released);
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Create);
    assert_eq!(
        claims.found(&key(), &claim(OWN, NONCE)),
        ClaimStep::TakeOver(Revision(5))
    );
}

#[test]
fn at_most_once_running_key_is_not_released() {
    let mut claims = claiming(NONCE);
    assert_eq!(claims.asked(&key(), OWN), ClaimState::Claiming);
    claims.claimed(&key());
    assert_eq!(claims.asked(&key(), OWN), ClaimState::Running);
    claims.handle(Millis::ZERO, &key(), KeyEvent::Lose);
    assert_eq!(claims.asked(&key(), OWN), ClaimState::Unknown);
}

#[test]
fn at_most_once_claim_of_another_is_asked_about() {
    let mut claims = claiming(NONCE);
    assert_eq!(claims.found(&key(), &claim(OTHER, 7)), ClaimStep::Ask);
    let next = claims.told(&ClaimState::Released, Revision(5));
    assert_eq!(next, ClaimStep::TakeOver(Revision(5)));
    assert_eq!(claims.asked(&key(), OTHER), ClaimState::Unknown);
}

#[test]
fn not_run_call_may_be_claimed_again() {
    let mut claims = claiming(NONCE);
    claims.claimed(&key());
    claims.handle(Millis::ZERO, &key(), KeyEvent::NotRun);
    assert_eq!(claims.open(&key(), digest()), ClaimStep::Create);
    assert_eq!(claims.found(&key(), &claim(OWN, NONCE)), ClaimStep::Run);
}

#[test]
fn full_table_refuses() {
    let mut claims = Claims::new(
        ClaimSettings {
            keys_max: 1,
            ..ClaimSettings::default()
        },
        OWN,
    );
    claims.open(&key(), digest());
    let other = ClaimKey {
        key: "k2".to_owned(),
        ..key()
    };
    assert_eq!(
        claims.open(&other, digest()),
        ClaimStep::Refuse(ErrorKind::ClaimsFull)
    );
}
