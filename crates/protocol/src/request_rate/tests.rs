use super::RequestRate;

#[test]
fn decimal_numbers_are_read_and_anything_else_is_not() {
    let sound = [
        ("0", 0),
        ("1", 1_000),
        (" 2.5 ", 2_500),
        (".2", 200),
        ("0.0004", 0),
        ("7.", 7_000),
        ("99999999999999999999", u32::MAX),
    ];
    for (text, milli) in sound {
        assert_eq!(RequestRate::parse(text), Some(RequestRate(milli)), "{text}");
    }
    let unsound = [
        "", ".", "-1", "+1", "1e3", "inf", "NaN", "1.2.3", "1,2", "one", "0x1", "1 2",
    ];
    for text in unsound {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
}
