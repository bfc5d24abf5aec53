//! Tests that a stream of several responses holds each event once and in order, and ends only when it is complete.

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sardinepin_decisions::{EventOrder, EventSequence, StreamFault, StreamHead};

const EVENTS: StreamHead<'_> = StreamHead {
    status: 200,
    content_type: Some("text/event-stream"),
};

/// The number of events of the streams in these tests.
const LAST: u64 = 6;

/// How many streams with faults are drawn.
const DRAWS: u64 = 20_000;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(event).collect()
}

/// Returns the numbers of the events in bytes that were forwarded.
fn numbers(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let values = text.lines().filter_map(|line| line.strip_prefix("id:"));
    values
        .filter_map(|value| value.trim().parse().ok())
        .collect()
}

/// Pushes a whole response; returns what is forwarded and the fault that ends it.
fn play(sequence: &mut EventSequence, text: &[u8]) -> (Vec<u8>, Option<StreamFault>) {
    let pushed = sequence.push(text);
    (pushed.forward.to_vec(), pushed.fault)
}

fn begun(order: EventOrder, last: Option<u64>) -> EventSequence {
    let mut sequence = EventSequence::new(order, last);
    assert_eq!(sequence.begin(EVENTS), Ok(()));
    sequence
}

/// Guards against the text of an error being taken for the continuation of a stream.
#[test]
fn response_of_another_status_or_type_continues_no_stream() {
    let cases = [
        (500, Some("text/event-stream"), StreamFault::Status),
        (404, Some("text/plain"), StreamFault::Status),
        (206, Some("text/event-stream"), StreamFault::Status),
        (200, Some("application/json"), StreamFault::MediaType),
        (200, None, StreamFault::MediaType),
    ];
    for (status, content_type, fault) in cases {
        let mut sequence = begun(EventOrder::Numbered, None);
        sequence.push(event(1).as_bytes());
        let head = StreamHead {
            status,
            content_type,
        };
        assert_eq!(
            sequence.begin(head),
            Err(fault),
            "{status} {content_type:?}"
        );
    }
}

/// Guards against a stream being refused for the parameters or the case of its media type, or because it names none.
#[test]
fn media_types_are_compared_without_case_and_parameters() {
    for first in [None, Some("Text/Event-Stream; charset=utf-8")] {
        let head = StreamHead {
            status: 200,
            content_type: first,
        };
        let mut sequence = EventSequence::new(EventOrder::Numbered, None);
        assert_eq!(sequence.begin(head), Ok(()));
        let again = first.map(|_| "text/event-stream");
        let head = StreamHead {
            status: 200,
            content_type: again,
        };
        assert_eq!(sequence.begin(head), Ok(()));
    }
}

/// Guards against bytes that are no event reaching a caller in the middle of its stream.
#[test]
fn bytes_that_are_no_event_end_a_response() {
    let cases = [
        ("{\"error\":\"overloaded\"}\n\n", StreamFault::Malformed),
        ("upstream failed\n\n", StreamFault::Malformed),
        ("overloaded\n\n", StreamFault::Number),
        (
            "HTTP/1.1 500 Internal Server Error\ncontent-type: text/plain\n\n",
            StreamFault::Malformed,
        ),
        (
            "HTTP/1.1 500 Failed\r\ncontent-type: text/plain\r\n\r\nid: 4\ndata: 4\n\n",
            StreamFault::Malformed,
        ),
        ("content-length: 4\n\n", StreamFault::Number),
        ("data: failed\n\n", StreamFault::Number),
        ("event: error\ndata: failed\n\n", StreamFault::Number),
        ("id: four\ndata: 4\n\n", StreamFault::Number),
        ("id: +4\ndata: 4\n\n", StreamFault::Number),
        ("id: 4\nid: 4\ndata: 4\n\n", StreamFault::Number),
        ("id: 5\ndata: 5\n\n", StreamFault::Gap),
        ("id: 3\ndata: 3\n\n", StreamFault::Gap),
    ];
    for (text, fault) in cases {
        let mut sequence = begun(EventOrder::Numbered, None);
        let (forwarded, found) = play(&mut sequence, (events(1..=3) + text).as_bytes());
        assert_eq!(numbers(&forwarded), [1, 2, 3], "{text:?}");
        assert_eq!(found, Some(fault), "{text:?}");
        assert_eq!(forwarded, events(1..=3).as_bytes());
    }
}

/// Guards against a response that holds nothing new being taken for the end of a stream.
#[test]
fn stream_ends_only_with_its_events() {
    let cases = [
        ("", Err(StreamFault::NoEvent)),
        (":keep-alive\n\n", Err(StreamFault::NoEvent)),
        ("id: 4\ndata", Err(StreamFault::CutEvent)),
        ("id: 4\ndata: 4\n", Err(StreamFault::CutEvent)),
        (
            "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n",
            Err(StreamFault::NoEvent),
        ),
        ("id: 3\ndata: 3\n\n", Ok(())),
        ("id: 4\ndata: 4\n\n", Ok(())),
    ];
    for (text, end) in cases {
        let mut sequence = begun(EventOrder::Numbered, None);
        sequence.push(events(1..=3).as_bytes());
        assert_eq!(sequence.begin(EVENTS), Ok(()));
        let pushed = sequence.push(text.as_bytes());
        assert_eq!(pushed.fault, None, "{text:?}");
        assert_eq!(sequence.end(), end, "{text:?}");
    }
}

/// Guards against repeated or skipped events after a stream was resumed, by a gateway or by its caller.
#[test]
fn continuation_begins_at_the_next_event_or_before() {
    for first in 1..=4 {
        let mut sequence = begun(EventOrder::Numbered, Some(3));
        let (forwarded, fault) = play(&mut sequence, events(first..=LAST).as_bytes());
        assert_eq!(fault, None);
        assert_eq!(numbers(&forwarded), [4, 5, 6]);
        assert_eq!(sequence.end(), Ok(()));
        assert_eq!(sequence.last(), Some(LAST));
    }
    let mut sequence = begun(EventOrder::Numbered, Some(3));
    let (forwarded, fault) = play(&mut sequence, events(5..=LAST).as_bytes());
    assert_eq!(fault, Some(StreamFault::Gap));
    assert!(forwarded.is_empty());
}

/// Guards against streams whose events have no numbers being broken off, and against both kinds being mixed.
#[test]
fn first_event_decides_whether_events_have_numbers() {
    let mut plain = begun(EventOrder::AsFirst, None);
    assert_eq!(plain.push(b"data: a\n\ndata: b\r\n\r\n").fault, None);
    assert_eq!(plain.end(), Ok(()));
    assert_eq!(
        plain.push(b"id: 1\ndata: a\n\n").fault,
        Some(StreamFault::Number)
    );
    let mut numbered = begun(EventOrder::AsFirst, None);
    numbered.push(event(7).as_bytes());
    assert_eq!(
        numbered.push(b"data: a\n\n").fault,
        Some(StreamFault::Number)
    );
    let mut resumed = begun(EventOrder::AsFirst, Some(2));
    assert_eq!(
        resumed.push(b"data: a\n\n").fault,
        Some(StreamFault::Number)
    );
}

/// Guards against a stream with an end event ending without it, or going on after it.
#[test]
fn stream_with_an_end_event_ends_with_it() {
    let mut sequence = begun(EventOrder::EndEvent(b"[DONE]"), None);
    sequence.push(b"data: {\"a\":1}\n\ndata: [DONE]\ndata: not yet\n\n");
    assert_eq!(sequence.end(), Err(StreamFault::NoEndEvent));
    assert_eq!(sequence.push(b"data: [DONE]\n\n").fault, None);
    assert_eq!(sequence.end(), Ok(()));
    assert_eq!(
        sequence.push(b"data: x\n\n").fault,
        Some(StreamFault::AfterEnd)
    );
    let mut sequence = begun(EventOrder::EndEvent(b"[DONE]"), None);
    for text in ["{\"error\":\"overloaded\"}\n\n", "overloaded\n\n"] {
        assert_eq!(sequence.begin(EVENTS), Ok(()));
        let pushed = sequence.push(text.as_bytes());
        assert_eq!(pushed.fault, Some(StreamFault::Malformed), "{text:?}");
    }
}

/// Guards against an event being rejected for a field that is not known, which the format allows.
#[test]
fn unknown_fields_are_part_of_an_event() {
    let mut sequence = begun(EventOrder::Numbered, None);
    let text = b"versions: 2\nid: 1\nab\n\n";
    let (forwarded, fault) = play(&mut sequence, text);
    assert_eq!((&forwarded[..], fault), (&text[..], None));
}

/// Guards against an event without end filling the memory.
#[test]
fn event_without_end_is_a_fault() {
    let mut sequence = begun(EventOrder::Numbered, None);
    let piece = vec![b'x'; 64 * 1024];
    let faults: Vec<_> = (0..5).map(|_| sequence.push(&piece).fault).collect();
    assert_matches!(
        faults[..],
        [None, None, None, None, Some(StreamFault::TooLarge)]
    );
}

/// Guards against blocks being told apart differently when their bytes come in other pieces.
#[test]
fn pieces_do_not_change_what_is_forwarded() {
    let text = format!(
        ":\n\n{}versions: 4\r\nid: 4\r\ndata: 4\r\n\r\n{}",
        events(1..=3),
        event(5)
    );
    for size in 1..=text.len() {
        let mut sequence = begun(EventOrder::Numbered, None);
        let mut forwarded = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            let pushed = sequence.push(piece);
            assert_eq!(pushed.fault, None);
            forwarded.extend_from_slice(&pushed.forward);
        }
        assert_eq!(String::from_utf8(forwarded).unwrap(), text);
        assert_eq!(sequence.end(), Ok(()));
    }
}

/// A change of the bytes of a response.
#[derive(Debug, Clone, Copy)]
enum Change {
    Cut(usize),
    Repeat {
        from: usize,
        to: usize,
    },
    Remove {
        from: usize,
        to: usize,
    },
    Swap {
        from: usize,
        middle: usize,
        to: usize,
    },
    Garble(usize, u8),
    Insert(usize, &'static str),
}

const INSERTED: [&str; 5] = [
    "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\nfailed",
    "{\"error\":\"overloaded\"}\n\n",
    "\n\n",
    "id: 4\n",
    "event: error\ndata: failed\n\n",
];

const GARBLED: [u8; 5] = [b'\n', b':', b'x', b'7', 0];

impl Change {
    fn draw(random: &mut ChaCha8Rng, length: usize) -> Self {
        let mut at = [0, 1, 2].map(|_| random.random_range(0..=length));
        at.sort_unstable();
        let [from, middle, to] = at;
        match random.random_range(0..6) {
            0 => Self::Cut(from),
            1 => Self::Repeat { from, to },
            2 => Self::Remove { from, to },
            3 => Self::Swap { from, middle, to },
            4 => Self::Garble(from, GARBLED[random.random_range(0..GARBLED.len())]),
            _ => Self::Insert(from, INSERTED[random.random_range(0..INSERTED.len())]),
        }
    }

    fn apply(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Cut(at) => bytes[..at].to_vec(),
            Self::Repeat { from, to } => [&bytes[..to], &bytes[from..]].concat(),
            Self::Remove { from, to } => [&bytes[..from], &bytes[to..]].concat(),
            Self::Swap { from, middle, to } => [
                &bytes[..from],
                &bytes[middle..to],
                &bytes[from..middle],
                &bytes[to..],
            ]
            .concat(),
            Self::Garble(at, byte) => {
                let mut changed = bytes.to_vec();
                if let Some(one) = changed.get_mut(at) {
                    *one = byte;
                }
                changed
            }
            Self::Insert(at, text) => [&bytes[..at], text.as_bytes(), &bytes[at..]].concat(),
        }
    }
}

/// Plays a damaged response and then sound ones until the stream is complete; returns what was forwarded.
fn play_damaged(damaged: &[u8], size: usize) -> Vec<u8> {
    let mut sequence = begun(EventOrder::Numbered, None);
    let mut forwarded = Vec::new();
    let mut fault = None;
    for piece in damaged.chunks(size.max(1)) {
        let pushed = sequence.push(piece);
        forwarded.extend_from_slice(&pushed.forward);
        fault = pushed.fault;
        if fault.is_some() {
            break;
        }
    }
    if fault.is_none() && sequence.end().is_ok() {
        return forwarded;
    }
    let from = sequence.last().map_or(1, |last| last + 1);
    if from <= LAST {
        assert_eq!(sequence.begin(EVENTS), Ok(()));
        let (more, fault) = play(&mut sequence, events(from..=LAST).as_bytes());
        assert_eq!(fault, None);
        assert_eq!(sequence.end(), Ok(()));
        forwarded.extend_from_slice(&more);
    }
    forwarded
}

/// Guards against any damage to a response by which a caller gets an event twice, in a wrong place or not at all, or bytes that are no event.
#[test]
fn damaged_response_never_repeats_skips_or_reorders_events() {
    let whole = events(1..=LAST);
    for seed in 0..DRAWS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let change = Change::draw(&mut random, whole.len());
        let damaged = change.apply(whole.as_bytes());
        let forwarded = play_damaged(&damaged, random.random_range(1..=damaged.len().max(1)));
        let found = numbers(&forwarded);
        let is_in_order = found.windows(2).all(|two| two[1] == two[0] + 1);
        assert!(is_in_order, "seed {seed}, {change:?}: {found:?}");
        // Text inside a line of data cannot be told from data.
        let text = String::from_utf8_lossy(&forwarded);
        let is_field = |line: &str| !line.starts_with(['H', '{']) && !line.starts_with("over");
        assert!(
            text.lines().all(is_field),
            "seed {seed}, {change:?}: {text}"
        );
    }
}

/// Guards against a stream that is cut at any byte being forwarded otherwise than whole.
#[test]
fn response_that_is_cut_anywhere_is_continued_to_the_whole_stream() {
    let whole = events(1..=LAST);
    for at in 0..whole.len() {
        let forwarded = play_damaged(&whole.as_bytes()[..at], 1);
        let is_event_end = at > 0 && whole.as_bytes()[..at].ends_with(b"\n\n");
        let expected = match is_event_end {
            // Its framing says that the response is complete.
            true => &whole[..at],
            false => &whole[..],
        };
        assert_eq!(
            String::from_utf8(forwarded).unwrap(),
            expected,
            "cut at {at}"
        );
    }
}
