//! Finds the line of a field in YAML text.
//!
//! The YAML library reports positions only for errors, so the seeds and visitors below descend to
//! the requested field and fail there on purpose.

use std::fmt;

use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor,
};

/// One segment of the path of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PathSegment {
    /// The value under a key of a mapping.
    Key(String),
    /// The item of a list at this index, from 0.
    Index(usize),
}

/// Splits a path such as `rules[2].then.weight` into its segments.
pub(crate) fn parse_path(path: &str) -> Vec<PathSegment> {
    let mut segments = Vec::new();
    for part in path.split(['.', '[']) {
        let index = part
            .strip_suffix(']')
            .and_then(|digits| digits.parse().ok());
        match index {
            Some(index) => segments.push(PathSegment::Index(index)),
            None if part.is_empty() => {}
            None => segments.push(PathSegment::Key(part.to_owned())),
        }
    }
    segments
}

/// Joins segments to a path such as `rules[2].then.weight`.
pub(crate) fn format_path(segments: &[PathSegment]) -> String {
    let mut path = String::new();
    for segment in segments {
        match segment {
            PathSegment::Index(index) => path.push_str(&format!("[{index}]")),
            PathSegment::Key(key) if path.is_empty() => path.push_str(key),
            PathSegment::Key(key) => path.push_str(&format!(".{key}")),
        }
    }
    path
}

/// Returns the line, from 1, of the field at `path`, or of its nearest ancestor in the text.
pub(crate) fn find_line(text: &str, path: &str) -> Option<usize> {
    let segments = parse_path(path);
    (1..=segments.len())
        .rev()
        .find_map(|depth| find_exact_line(text, &segments[..depth]))
}

fn find_exact_line(text: &str, path: &[PathSegment]) -> Option<usize> {
    let visitor = PathVisitor { path };
    let result = visitor.deserialize(serde_yaml_ng::Deserializer::from_str(text));
    result.err()?.location().map(|location| location.line())
}

/// Descends along `path` and fails at its last segment.
#[derive(Debug, Clone, Copy)]
struct PathVisitor<'a> {
    path: &'a [PathSegment],
}

impl<'de> DeserializeSeed<'de> for PathVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        if self.path.is_empty() {
            return Err(D::Error::custom("found"));
        }
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathVisitor<'_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("anything")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let (first, rest) = self.path.split_at(1);
        let Some(PathSegment::Key(wanted)) = first.first() else {
            while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        let key = KeyVisitor {
            wanted,
            last: rest.is_empty(),
        };
        while let Some(found) = map.next_key_seed(key)? {
            if found {
                map.next_value_seed(PathVisitor { path: rest })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let (first, rest) = self.path.split_at(1);
        let wanted = match first.first() {
            Some(PathSegment::Index(index)) => Some(*index),
            _ => None,
        };
        let mut index = 0;
        loop {
            let more = if Some(index) == wanted {
                seq.next_element_seed(ItemSeed { path: rest })?.is_some()
            } else {
                seq.next_element::<IgnoredAny>()?.is_some()
            };
            if !more {
                return Ok(());
            }
            index += 1;
        }
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}

/// Returns whether a key is `wanted`, and fails at that key if it ends the path.
#[derive(Debug, Clone, Copy)]
struct KeyVisitor<'a> {
    wanted: &'a str,
    last: bool,
}

impl<'de> DeserializeSeed<'de> for KeyVisitor<'_> {
    type Value = bool;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<bool, D::Error> {
        from.deserialize_str(self)
    }
}

impl Visitor<'_> for KeyVisitor<'_> {
    type Value = bool;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a key")
    }

    fn visit_str<E: serde::de::Error>(self, key: &str) -> Result<bool, E> {
        let found = key == self.wanted;
        if found && self.last {
            return Err(E::custom("found"));
        }
        Ok(found)
    }
}

/// Fails at a list item if it ends the path, so that the error has the position of the item.
#[derive(Debug, Clone, Copy)]
struct ItemSeed<'a> {
    path: &'a [PathSegment],
}

impl<'de> DeserializeSeed<'de> for ItemSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        if self.path.is_empty() {
            from.deserialize_any(FailingVisitor)
        } else {
            from.deserialize_any(PathVisitor { path: self.path })
        }
    }
}

/// Fails at any value.
#[derive(Debug)]
struct FailingVisitor;

impl<'de> Visitor<'de> for FailingVisitor {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("nothing")
    }

    // The default methods reject every value, but a list or mapping is parsed to its end first, so
    // the error would have the wrong position.
    fn visit_map<A: MapAccess<'de>>(self, _: A) -> Result<(), A::Error> {
        Err(A::Error::custom("found"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, _: A) -> Result<(), A::Error> {
        Err(A::Error::custom("found"))
    }
}
