//! Tests of the times and marks that can be read from answers.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use sardinepin_common::Millis;

use super::{REST_MAX, is_leaving, rest_time};

fn rest(values: &[&'static str], date: Option<&'static str>) -> Option<Millis> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(header::RETRY_AFTER, HeaderValue::from_static(value));
    }
    if let Some(date) = date {
        headers.insert(header::DATE, HeaderValue::from_static(date));
    }
    rest_time(&headers)
}

#[test]
fn numbers_are_seconds_with_fractions() {
    assert_eq!(rest(&["2"], None), Some(Millis(2_000)));
    assert_eq!(rest(&[" 0.25 "], None), Some(Millis(250)));
    assert_eq!(rest(&["0"], None), Some(Millis::ZERO));
    assert_eq!(rest(&["1", "3", "x"], None), Some(Millis(3_000)));
}

#[test]
fn what_is_no_time_says_nothing() {
    for value in ["", ".", "-1", "soon", "inf", "nan", "1e3", "+2", "1.2.3"] {
        assert_eq!(rest(&[value], None), None, "{value}");
    }
    assert_eq!(rest(&[], None), None);
}

#[test]
fn a_huge_number_is_kept_as_the_longest_rest() {
    let digits = "9999999999999999999999999999999999999999";
    assert_eq!(rest(&[digits], None), Some(REST_MAX));
}

#[test]
fn a_date_counts_from_the_date_of_its_answer() {
    let answered = Some("Fri, 04 Dec 2026 12:00:00 GMT");
    let until = "Fri, 04 Dec 2026 12:00:05 GMT";
    let before = "Fri, 04 Dec 2026 11:00:00 GMT";
    assert_eq!(rest(&[until], answered), Some(Millis(5_000)));
    assert_eq!(rest(&[before], answered), Some(Millis::ZERO));
    assert_eq!(rest(&[until], None), None);
}

#[test]
fn only_the_mark_itself_says_that_an_upstream_is_leaving() {
    let name = HeaderName::from_static("x-leaving");
    let mut headers = HeaderMap::new();
    assert!(!is_leaving(&headers, &name));
    for value in ["0", "", "10", "yes"] {
        headers.insert(&name, HeaderValue::from_static(value));
        assert!(!is_leaving(&headers, &name), "{value}");
    }
    headers.append(&name, HeaderValue::from_static(" 1 "));
    assert!(is_leaving(&headers, &name));
}
