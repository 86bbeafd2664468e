//! JSON Pointer (RFC 6901). Only the values along the path are decoded, not the whole text.

use crate::message::member_name;
use serde::Deserialize;
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// A parsed JSON pointer, as its reference tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pointer(Vec<String>);

/// The most reference tokens of a pointer.
const MAX_TOKENS: usize = 32;

/// Why no value is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindError {
    /// There is no value at the pointer.
    NotFound,
    /// A name along the path is duplicated. Other parsers might use the other value.
    DuplicateName,
}

impl Pointer {
    /// Parses a pointer such as `/claim/id`. The error says what was expected.
    pub fn parse(text: &str) -> Result<Pointer, &'static str> {
        let mut parts = text.split('/');
        if parts.next() != Some("") || text.is_empty() {
            return Err("a JSON pointer that starts with /, such as /claim/id");
        }
        let unescape = |part: &str| {
            let mut pieces = part.split('~');
            let first = pieces.next().unwrap_or_default().to_string();
            pieces.try_fold(first, |mut token, piece| {
                let (escape, remainder) = piece.split_at_checked(1)?;
                token.push(match escape {
                    "0" => '~',
                    "1" => '/',
                    _ => return None,
                });
                token.push_str(remainder);
                Some(token)
            })
        };
        let tokens: Option<Vec<String>> = parts.map(unescape).collect();
        let tokens = tokens.ok_or("0 or 1 after each ~")?;
        if tokens.len() > MAX_TOKENS {
            return Err("at most 32 reference tokens");
        }
        Ok(Pointer(tokens))
    }

    /// Returns the raw JSON of the value at the pointer.
    pub fn find<'a>(&self, text: &'a str) -> Result<&'a RawValue, FindError> {
        let mut value: &RawValue = serde_json::from_str(text).map_err(|_| FindError::NotFound)?;
        for token in &self.0 {
            let mut json = serde_json::Deserializer::from_str(value.get());
            let lookup = ReferenceToken(token)
                .deserialize(&mut json)
                .map_err(|_| FindError::NotFound)?;
            if lookup.is_duplicate {
                return Err(FindError::DuplicateName);
            }
            value = lookup.value.ok_or(FindError::NotFound)?;
        }
        Ok(value)
    }
}

/// Looks up one reference token in an object or an array.
struct ReferenceToken<'a>(&'a str);

struct Lookup<'de> {
    value: Option<&'de RawValue>,
    is_duplicate: bool,
}

impl<'de> DeserializeSeed<'de> for ReferenceToken<'_> {
    type Value = Lookup<'de>;
    fn deserialize<D: de::Deserializer<'de>>(self, d: D) -> Result<Lookup<'de>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ReferenceToken<'_> {
    type Value = Lookup<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object or an array")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Lookup<'de>, A::Error> {
        let mut lookup = Lookup {
            value: None,
            is_duplicate: false,
        };
        while let Some(raw) = map.next_key::<&RawValue>()? {
            if member_name(raw).is_some_and(|name| name == self.0) {
                lookup.is_duplicate |= lookup.value.replace(map.next_value()?).is_some();
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(lookup)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Lookup<'de>, A::Error> {
        // RFC 6901, section 4: an index is `0`, or digits without a leading zero. `-` denotes the
        // element after the last one, which never exists.
        let is_index =
            self.0 == "0" || !self.0.starts_with('0') && self.0.bytes().all(|b| b.is_ascii_digit());
        let wanted: Option<usize> = Some(self.0)
            .filter(|_| is_index)
            .and_then(|token| token.parse().ok());
        let (mut index, mut value) = (0, None);
        while let Some(element) = seq.next_element::<&RawValue>()? {
            if Some(index) == wanted {
                value = Some(element);
            }
            index += 1;
        }
        Ok(Lookup {
            value,
            is_duplicate: false,
        })
    }
}

/// Returns the value as a string, if it is one.
pub fn as_string(value: &RawValue) -> Option<String> {
    String::deserialize(value).ok()
}
