//! JSON Pointer (RFC 6901) into a text that is not read as a whole: only the way to the value is.

use crate::message::name;
use serde::Deserialize;
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// A pointer, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pointer(Vec<String>);

/// Longest way.
const MAX_STEPS: usize = 32;

/// Why there is no value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindError {
    /// Nothing lies there.
    NotFound,
    /// A name on the way comes twice: who reads the other one would find another value.
    DuplicateName,
}

impl Pointer {
    /// Reads a pointer such as `/claim/id`; what was expected where it is none.
    pub fn parse(text: &str) -> Result<Pointer, &'static str> {
        let mut steps = text.split('/');
        if steps.next() != Some("") || text.is_empty() {
            return Err("a pointer from its /, such as /claim/id");
        }
        let step = |s: &str| {
            let mut rest = s.split('~');
            let first = rest.next().unwrap_or_default().to_string();
            rest.try_fold(first, |mut done, part| {
                let (sign, after) = part.split_at_checked(1)?;
                done.push(match sign {
                    "0" => '~',
                    "1" => '/',
                    _ => return None,
                });
                done.push_str(after);
                Some(done)
            })
        };
        let steps: Option<Vec<String>> = steps.map(step).collect();
        let steps = steps.ok_or("~0 or ~1 behind a ~")?;
        if steps.len() > MAX_STEPS {
            return Err("32 steps at most");
        }
        Ok(Pointer(steps))
    }

    /// The value that it leads to, as it stands.
    pub fn find<'a>(&self, text: &'a str) -> Result<&'a RawValue, FindError> {
        let mut here: &RawValue = serde_json::from_str(text).map_err(|_| FindError::NotFound)?;
        for step in &self.0 {
            let mut d = serde_json::Deserializer::from_str(here.get());
            let Found { value, twice } = Step(step)
                .deserialize(&mut d)
                .map_err(|_| FindError::NotFound)?;
            if twice {
                return Err(FindError::DuplicateName);
            }
            here = value.ok_or(FindError::NotFound)?;
        }
        Ok(here)
    }
}

struct Step<'s>(&'s str);

struct Found<'de> {
    value: Option<&'de RawValue>,
    twice: bool,
}

impl<'de> DeserializeSeed<'de> for Step<'_> {
    type Value = Found<'de>;
    fn deserialize<D: de::Deserializer<'de>>(self, d: D) -> Result<Found<'de>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Step<'_> {
    type Value = Found<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object or an array")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Found<'de>, A::Error> {
        let mut found = Found {
            value: None,
            twice: false,
        };
        while let Some(raw) = map.next_key::<&RawValue>()? {
            if name(raw).is_some_and(|name| name == self.0) {
                found.twice |= found.value.replace(map.next_value()?).is_some();
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(found)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Found<'de>, A::Error> {
        // RFC 6901, section 4: digits without a leading zero; `-` is behind the last.
        let plain =
            self.0 == "0" || !self.0.starts_with('0') && self.0.bytes().all(|b| b.is_ascii_digit());
        let place: Option<usize> = Some(self.0).filter(|_| plain).and_then(|p| p.parse().ok());
        let (mut at, mut value) = (0, None);
        while let Some(element) = seq.next_element::<&RawValue>()? {
            if Some(at) == place {
                value = Some(element);
            }
            at += 1;
        }
        Ok(Found {
            value,
            twice: false,
        })
    }
}

/// A value's text, where it is one.
pub fn as_string(value: &RawValue) -> Option<String> {
    String::deserialize(value).ok()
}
