//! Envelopes: what a text asks, or answers.

use bytes::Bytes;
use serde::Deserialize;
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// The specification's codes (section 5.1).
pub const PARSE_ERROR: i64 = -32700;
/// Not a request.
pub const INVALID_REQUEST: i64 = -32600;
/// No such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Parameters that the method can't have.
pub const INVALID_PARAMS: i64 = -32602;
/// The server's own error.
pub const INTERNAL_ERROR: i64 = -32603;

/// What a text from a caller holds.
#[derive(Debug)]
pub enum Message {
    /// One call or notification.
    Single(Result<Call, RequestError>),
    /// A batch, its members as they stand; it is not empty.
    Batch(Vec<Bytes>),
}

/// A call, or a notification where it has no id.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Its id as it stands: `1`, `1.0` and `"1"` are three.
    pub id: Option<Bytes>,
    /// Its method's name.
    pub method: String,
    /// The name as it stands, in quotes.
    pub raw_method: Bytes,
    /// Its parameters as they stand.
    pub params: Option<Bytes>,
    /// What it carries down a chain, beside the specification's members.
    pub budget_members: BudgetMembers,
}

/// Members of an extension: budgets down a chain of services, as the texts that HTTP has in headers
/// of the same names. A member that is no plain text, or comes twice, is there and empty.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BudgetMembers {
    /// `req-budget`, without its quotes.
    pub budget: Option<Bytes>,
    /// `req-path`, without its quotes.
    pub path: Option<Bytes>,
}

/// What can't be taken, with the code to answer.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    /// One of the specification's codes.
    pub code: i64,
    /// What was expected.
    pub expected: &'static str,
    /// The id to answer to; null where none can be told.
    pub id: Bytes,
}

/// The id of answers to what has none that can be told.
pub const NULL_ID: Bytes = Bytes::from_static(b"null");

fn wrong(code: i64, expected: &'static str) -> RequestError {
    RequestError {
        code,
        expected,
        id: NULL_ID,
    }
}

/// A server's text.
#[derive(Debug)]
pub enum ServerMessage {
    /// An answer.
    Response(Response),
    /// A call of the server's own, with its id as it stands; none for a notification.
    Call(Option<Bytes>),
    /// Neither.
    Invalid(&'static str),
}

/// A server's answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The id as it stands.
    pub id: Bytes,
    /// `"result":...` or `"error":...`, the value as it stands.
    pub member: Bytes,
    /// The code of an error, where it is a number.
    pub error_code: Option<i64>,
    /// Whether it is an error.
    pub is_error: bool,
    /// `req-spent`, without its quotes, where it is told.
    pub retries_spent: Option<Bytes>,
}

/// The members of an envelope, as they stand. Others are passed over; one that comes twice is told.
#[derive(Default)]
struct Envelope<'a> {
    version: Option<&'a RawValue>,
    id: Option<&'a RawValue>,
    method: Option<&'a RawValue>,
    params: Option<&'a RawValue>,
    result: Option<&'a RawValue>,
    error: Option<&'a RawValue>,
    twice: bool,
    budget: Extra<'a>,
    path: Extra<'a>,
    spent: Extra<'a>,
}

/// A member that spoils nothing but itself.
#[derive(Default, Clone, Copy)]
enum Extra<'a> {
    #[default]
    None,
    Once(&'a RawValue),
    Twice,
}

impl<'a> Extra<'a> {
    fn put(&mut self, value: &'a RawValue) {
        *self = if matches!(self, Extra::None) {
            Extra::Once(value)
        } else {
            Extra::Twice
        };
    }

    fn text(self, whole: &Bytes) -> Option<Bytes> {
        let value = match self {
            Extra::None => return None,
            Extra::Once(value) => part(whole, value),
            Extra::Twice => return Some(Bytes::new()),
        };
        let plain = value.len() >= 2 && value.starts_with(b"\"") && !value.contains(&b'\\');
        Some(if plain {
            value.slice(1..value.len() - 1)
        } else {
            Bytes::new()
        })
    }
}

impl<'de> Deserialize<'de> for Envelope<'de> {
    fn deserialize<D: de::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Members;
        impl<'de> Visitor<'de> for Members {
            type Value = Envelope<'de>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Envelope<'de>, A::Error> {
                let mut e = Envelope::default();
                while let Some(raw) = map.next_key::<&RawValue>()? {
                    let place = match name(raw).map_or(Known::Other, |name| Known::of(&name)) {
                        Known::Version => &mut e.version,
                        Known::Id => &mut e.id,
                        Known::Method => &mut e.method,
                        Known::Params => &mut e.params,
                        Known::Result => &mut e.result,
                        Known::Error => &mut e.error,
                        Known::Budget => {
                            e.budget.put(map.next_value()?);
                            continue;
                        }
                        Known::Path => {
                            e.path.put(map.next_value()?);
                            continue;
                        }
                        Known::Spent => {
                            e.spent.put(map.next_value()?);
                            continue;
                        }
                        Known::Other => {
                            map.next_value::<IgnoredAny>()?;
                            continue;
                        }
                    };
                    e.twice |= place.replace(map.next_value()?).is_some();
                }
                Ok(e)
            }
        }
        d.deserialize_map(Members)
    }
}

enum Known {
    Version,
    Id,
    Method,
    Params,
    Result,
    Error,
    Budget,
    Path,
    Spent,
    Other,
}

impl Known {
    fn of(name: &str) -> Known {
        match name {
            "jsonrpc" => Known::Version,
            "id" => Known::Id,
            "method" => Known::Method,
            "params" => Known::Params,
            "result" => Known::Result,
            "error" => Known::Error,
            "req-budget" => Known::Budget,
            "req-path" => Known::Path,
            "req-spent" => Known::Spent,
            _ => Known::Other,
        }
    }
}

/// A member's name as it stands, without its quotes where it needs no reading. Half a surrogate in
/// it, which is nobody's name here, is nobody's trouble.
pub(crate) fn name(raw: &RawValue) -> Option<Cow<'_, str>> {
    let inside = raw.get().strip_prefix('"')?.strip_suffix('"')?;
    if inside.contains('\\') {
        String::deserialize(raw).ok().map(Cow::Owned)
    } else {
        Some(Cow::Borrowed(inside))
    }
}

/// The part of a text that a value lies in.
fn part(text: &Bytes, value: &RawValue) -> Bytes {
    text.slice_ref(value.get().as_bytes())
}

fn is_id(value: &RawValue) -> bool {
    value
        .get()
        .starts_with(|c: char| c == '"' || c == '-' || c.is_ascii_digit())
        || value.get() == "null"
}

/// A text without the mark that some systems put before it (RFC 8259, section 8.1, lets it be
/// ignored).
fn unmarked(text: &Bytes) -> Bytes {
    text.strip_prefix(b"\xef\xbb\xbf")
        .map_or_else(|| text.clone(), |rest| text.slice_ref(rest))
}

/// Reads a caller's text.
pub fn parse(text: &Bytes, most: usize) -> Result<Message, RequestError> {
    let text = &unmarked(text);
    let utf8 = std::str::from_utf8(text).map_err(|_| wrong(PARSE_ERROR, "UTF-8"))?;
    if !utf8.trim_start().starts_with('[') {
        return Ok(Message::Single(parse_call(text)));
    }
    let mut json = serde_json::Deserializer::from_str(utf8);
    let members = Members(most)
        .deserialize(&mut json)
        .and_then(|m| json.end().map(|()| m));
    let list = members.map_err(|_| wrong(PARSE_ERROR, "JSON"))?;
    let list = list.ok_or(wrong(INVALID_REQUEST, "a smaller batch"))?;
    if list.is_empty() {
        return Err(wrong(INVALID_REQUEST, "a batch that is not empty"));
    }
    Ok(Message::Batch(
        list.into_iter().map(|m| part(text, m)).collect(),
    ))
}

/// Reads a batch's members; none where there are more than this. Those past it are not kept.
struct Members(usize);

impl<'de> DeserializeSeed<'de> for Members {
    type Value = Option<Vec<&'de RawValue>>;
    fn deserialize<D: de::Deserializer<'de>>(self, d: D) -> Result<Self::Value, D::Error> {
        d.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Members {
    type Value = Option<Vec<&'de RawValue>>;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut list = Vec::new();
        while let Some(member) = seq.next_element::<&RawValue>()? {
            if list.len() == self.0 {
                // Whether the rest is JSON still matters for the answer.
                while seq.next_element::<IgnoredAny>()?.is_some() {}
                return Ok(None);
            }
            list.push(member);
        }
        Ok(Some(list))
    }
}

/// Reads one call: a text, or a member of a batch.
pub fn parse_call(text: &Bytes) -> Result<Call, RequestError> {
    let utf8 = std::str::from_utf8(text).map_err(|_| wrong(PARSE_ERROR, "UTF-8"))?;
    let e: Envelope<'_> = match serde_json::from_str(utf8) {
        Ok(e) => e,
        // A sound value that is no object is no request; all else is no JSON.
        Err(e) if e.is_data() => return Err(wrong(INVALID_REQUEST, "an object")),
        Err(_) => return Err(wrong(PARSE_ERROR, "JSON")),
    };
    // Of an id that comes twice neither can be answered.
    let id =
        e.id.filter(|id| is_id(id) && !e.twice)
            .map(|id| part(text, id));
    let invalid = |expected| {
        let id = id.clone().unwrap_or(NULL_ID);
        Err(RequestError {
            code: INVALID_REQUEST,
            expected,
            id,
        })
    };
    if e.twice {
        return invalid("each member once");
    }
    if e.id.is_some() && id.is_none() {
        return invalid("an id that is a text, a number or null");
    }
    if e.version.is_none_or(|v| v.get() != "\"2.0\"") {
        return invalid("`\"jsonrpc\": \"2.0\"`");
    }
    let Some(method) = e.method else {
        return invalid("a `method`");
    };
    let Ok(name) = serde_json::from_str::<String>(method.get()) else {
        return invalid("a `method` that is a text");
    };
    // Null is what several clients send for none.
    if e.params
        .is_some_and(|p| !p.get().starts_with(['{', '[', 'n']))
    {
        return invalid("`params` that are an object or an array");
    }
    if e.result.is_some() || e.error.is_some() {
        return invalid("a call without `result` or `error`");
    }
    let (raw_method, params) = (part(text, method), e.params.map(|p| part(text, p)));
    let budget_members = BudgetMembers {
        budget: e.budget.text(text),
        path: e.path.text(text),
    };
    Ok(Call {
        id,
        method: name,
        raw_method,
        params,
        budget_members,
    })
}

/// Reads a server's text.
pub fn parse_server_message(text: &Bytes) -> ServerMessage {
    let text = &unmarked(text);
    let Ok(utf8) = std::str::from_utf8(text) else {
        return ServerMessage::Invalid("UTF-8");
    };
    let Ok(e) = serde_json::from_str::<Envelope<'_>>(utf8) else {
        return ServerMessage::Invalid("an object");
    };
    if e.twice {
        return ServerMessage::Invalid("each member once");
    }
    if e.method.is_some() {
        return ServerMessage::Call(e.id.map(|id| part(text, id)));
    }
    let Some(id) = e.id else {
        return ServerMessage::Invalid("an `id`");
    };
    let (name, value) = match (e.result, e.error) {
        (Some(result), None) => ("result", result),
        (None, Some(error)) => ("error", error),
        _ => return ServerMessage::Invalid("one of `result` and `error`"),
    };
    #[derive(Deserialize)]
    struct Code {
        code: i64,
    }
    let is_error = name == "error";
    let error_code = serde_json::from_str::<Code>(value.get())
        .ok()
        .filter(|_| is_error)
        .map(|c| c.code);
    let member = [b"\"", name.as_bytes(), b"\":", value.get().as_bytes()]
        .concat()
        .into();
    let retries_spent = e.spent.text(text);
    ServerMessage::Response(Response {
        id: part(text, id),
        member,
        error_code,
        is_error,
        retries_spent,
    })
}
