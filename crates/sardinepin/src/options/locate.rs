//! Finds the line of a field in YAML text.
//!
//! The YAML library tells the position of an error, so the walk below ends in an error on purpose
//! at the field that is looked for.

use std::fmt;

use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor,
};

/// One step on the way to a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// The value under a key of a mapping.
    Key(String),
    /// An item of a list, from 0.
    Item(usize),
}

/// Splits a path such as `rules[2].then.weight` into its steps.
pub(crate) fn steps_of(path: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    for part in path.split(['.', '[']) {
        let item = part
            .strip_suffix(']')
            .and_then(|number| number.parse().ok());
        match item {
            Some(number) => steps.push(Step::Item(number)),
            None if part.is_empty() => {}
            None => steps.push(Step::Key(part.to_owned())),
        }
    }
    steps
}

/// Writes steps as a path such as `rules[2].then.weight`.
pub(crate) fn path_of(steps: &[Step]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            Step::Item(at) => path.push_str(&format!("[{at}]")),
            Step::Key(key) if path.is_empty() => path.push_str(key),
            Step::Key(key) => path.push_str(&format!(".{key}")),
        }
    }
    path
}

/// Returns the line, from 1, of the field at `path`, or of the nearest field around it.
pub(crate) fn line_of(text: &str, path: &str) -> Option<usize> {
    let steps = steps_of(path);
    (1..=steps.len())
        .rev()
        .find_map(|depth| line_at(text, &steps[..depth]))
}

fn line_at(text: &str, steps: &[Step]) -> Option<usize> {
    let walk = Walk { steps };
    let end = walk.deserialize(serde_yaml_ng::Deserializer::from_str(text));
    end.err()?.location().map(|place| place.line())
}

/// Walks down `steps` and fails at the last one.
#[derive(Debug, Clone, Copy)]
struct Walk<'a> {
    steps: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        if self.steps.is_empty() {
            return Err(D::Error::custom("found"));
        }
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("anything")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let (first, rest) = self.steps.split_at(1);
        let Some(Step::Key(wanted)) = first.first() else {
            while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        let key = KeyWalk {
            wanted,
            last: rest.is_empty(),
        };
        while let Some(found) = map.next_key_seed(key)? {
            if found {
                map.next_value_seed(Walk { steps: rest })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let (first, rest) = self.steps.split_at(1);
        let wanted = match first.first() {
            Some(Step::Item(number)) => Some(*number),
            _ => None,
        };
        let mut at = 0;
        loop {
            let more = if Some(at) == wanted {
                seq.next_element_seed(ItemWalk { steps: rest })?.is_some()
            } else {
                seq.next_element::<IgnoredAny>()?.is_some()
            };
            if !more {
                return Ok(());
            }
            at += 1;
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

/// Compares a key and fails at the one looked for, if it is the last step.
#[derive(Debug, Clone, Copy)]
struct KeyWalk<'a> {
    wanted: &'a str,
    last: bool,
}

impl<'de> DeserializeSeed<'de> for KeyWalk<'_> {
    type Value = bool;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<bool, D::Error> {
        from.deserialize_str(self)
    }
}

impl Visitor<'_> for KeyWalk<'_> {
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

/// Fails at an item of a list, if it is the last step, so that the error bears the item's place.
#[derive(Debug, Clone, Copy)]
struct ItemWalk<'a> {
    steps: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for ItemWalk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        if self.steps.is_empty() {
            from.deserialize_any(Fail)
        } else {
            from.deserialize_any(Walk { steps: self.steps })
        }
    }
}

/// Fails at whatever it is shown.
#[derive(Debug)]
struct Fail;

impl<'de> Visitor<'de> for Fail {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("nothing")
    }

    // A list or mapping would otherwise be read to its end first; all other visits fail by default.
    fn visit_map<A: MapAccess<'de>>(self, _: A) -> Result<(), A::Error> {
        Err(A::Error::custom("found"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, _: A) -> Result<(), A::Error> {
        Err(A::Error::custom("found"))
    }
}
