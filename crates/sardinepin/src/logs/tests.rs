//! Tests of the lines of the log.

use log::{Level, Record};
use sardinepin_common::Millis;

use super::line;

#[test]
fn a_line_has_the_fixed_fields_first_and_the_pairs_after_them() {
    let pairs: [(&str, log::kv::Value<'_>); 5] = [
        ("event", "refused".into()),
        ("request", "r-1".into()),
        ("attempts", 2_u64.into()),
        ("late", true.into()),
        ("message", "second".into()),
    ];
    let source: &[(&str, log::kv::Value<'_>)] = &pairs;
    let written = line(
        &Record::builder()
            .level(Level::Warn)
            .target("sardinepin::entry")
            .args(format_args!("a \"quoted\"\nline"))
            .key_values(&source)
            .build(),
        Millis(1_700_000_000_123),
    );
    assert_eq!(
        written,
        "{\"time\":\"2023-11-14T22:13:20.123Z\",\"level\":\"warn\",\
         \"target\":\"sardinepin::entry\",\"message\":\"a \\\"quoted\\\"\\nline\",\
         \"event\":\"refused\",\"request\":\"r-1\",\"attempts\":2,\"late\":true,\
         \"message_\":\"second\"}"
    );
}
