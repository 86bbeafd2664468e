//! JSON-RPC envelopes: parses calls, batches and responses, and keeps their values as raw JSON.

use bytes::Bytes;
use serde::Deserialize;
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// The text is not JSON. The error codes are those of the specification (section 5.1).
pub const PARSE_ERROR: i64 = -32700;
/// The JSON is not a valid request.
pub const INVALID_REQUEST: i64 = -32600;
/// The method does not exist.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The parameters do not fit the method.
pub const INVALID_PARAMS: i64 = -32602;
/// The server failed.
pub const INTERNAL_ERROR: i64 = -32603;

/// The content of a client's text.
#[derive(Debug)]
pub enum Message {
    /// A single call or notification.
    Single(Result<Call, RequestError>),
    /// A batch with at least one member. Each is unparsed, for [`parse_call`].
    Batch(Vec<Bytes>),
}

/// A call, or a notification if it has no id.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The raw JSON of the id: `1`, `1.0` and `"1"` are different ids.
    pub id: Option<Bytes>,
    /// The method name, with escapes resolved.
    pub method: String,
    /// The raw JSON of the method name, with its quotes.
    pub raw_method: Bytes,
    /// The raw JSON of the parameters.
    pub params: Option<Bytes>,
    /// The members of the retry budget extension.
    pub budget_members: BudgetMembers,
}

/// The members of the retry budget extension. They have the names and values of the HTTP headers. A
/// member that is duplicated, or not a string without escapes, is present but empty.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BudgetMembers {
    /// The value of `req-budget`, without quotes.
    pub budget: Option<Bytes>,
    /// The value of `req-path`, without quotes.
    pub path: Option<Bytes>,
}

/// Why a call is rejected, with the fields of the error response.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    /// The error code.
    pub code: i64,
    /// What was expected instead, for the message.
    pub expected: &'static str,
    /// The id to respond to, or null if it cannot be determined.
    pub id: Bytes,
}

/// The id of responses to calls whose id cannot be determined.
pub const NULL_ID: Bytes = Bytes::from_static(b"null");

fn rejection(code: i64, expected: &'static str) -> RequestError {
    RequestError {
        code,
        expected,
        id: NULL_ID,
    }
}

/// The content of a server's text.
#[derive(Debug)]
pub enum ServerMessage {
    /// A response to a call.
    Response(Response),
    /// A call by the server, with the raw JSON of its id; a notification has none.
    Call(Option<Bytes>),
    /// Neither. The value is what was expected.
    Invalid(&'static str),
}

/// A server's response to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The raw JSON of the id.
    pub id: Bytes,
    /// The member `"result":...` or `"error":...`, with the raw JSON of its value.
    pub member: Bytes,
    /// The code of an error, if it is an integer.
    pub error_code: Option<i64>,
    /// Whether the member is `error`.
    pub is_error: bool,
    /// The value of `req-spent`, without quotes, if present.
    pub retries_spent: Option<Bytes>,
}

/// The known members of an envelope, as raw JSON. Others are ignored.
#[derive(Default)]
struct Envelope<'a> {
    version: Option<&'a RawValue>,
    id: Option<&'a RawValue>,
    method: Option<&'a RawValue>,
    params: Option<&'a RawValue>,
    result: Option<&'a RawValue>,
    error: Option<&'a RawValue>,
    /// Whether a member of the specification is duplicated.
    has_duplicates: bool,
    budget: ExtensionMember<'a>,
    path: ExtensionMember<'a>,
    spent: ExtensionMember<'a>,
}

/// A member of an extension. If it is malformed, the envelope is still valid.
#[derive(Default, Clone, Copy)]
enum ExtensionMember<'a> {
    #[default]
    Absent,
    Present(&'a RawValue),
    Duplicate,
}

impl<'a> ExtensionMember<'a> {
    fn add(&mut self, value: &'a RawValue) {
        *self = if matches!(self, ExtensionMember::Absent) {
            ExtensionMember::Present(value)
        } else {
            ExtensionMember::Duplicate
        };
    }

    /// Returns the value without quotes, empty if the member is malformed.
    fn value(self, text: &Bytes) -> Option<Bytes> {
        let value = match self {
            ExtensionMember::Absent => return None,
            ExtensionMember::Present(value) => slice_of(text, value),
            ExtensionMember::Duplicate => return Some(Bytes::new()),
        };
        let is_plain = value.len() >= 2 && value.starts_with(b"\"") && !value.contains(&b'\\');
        Some(if is_plain {
            value.slice(1..value.len() - 1)
        } else {
            Bytes::new()
        })
    }
}

impl<'de> Deserialize<'de> for Envelope<'de> {
    fn deserialize<D: de::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct EnvelopeVisitor;
        impl<'de> Visitor<'de> for EnvelopeVisitor {
            type Value = Envelope<'de>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Envelope<'de>, A::Error> {
                let mut envelope = Envelope::default();
                while let Some(raw) = map.next_key::<&RawValue>()? {
                    let known = member_name(raw).map(|name| KnownMember::from_name(&name));
                    let member = match known.unwrap_or(KnownMember::Other) {
                        KnownMember::Version => &mut envelope.version,
                        KnownMember::Id => &mut envelope.id,
                        KnownMember::Method => &mut envelope.method,
                        KnownMember::Params => &mut envelope.params,
                        KnownMember::Result => &mut envelope.result,
                        KnownMember::Error => &mut envelope.error,
                        KnownMember::Budget => {
                            envelope.budget.add(map.next_value()?);
                            continue;
                        }
                        KnownMember::Path => {
                            envelope.path.add(map.next_value()?);
                            continue;
                        }
                        KnownMember::Spent => {
                            envelope.spent.add(map.next_value()?);
                            continue;
                        }
                        KnownMember::Other => {
                            map.next_value::<IgnoredAny>()?;
                            continue;
                        }
                    };
                    envelope.has_duplicates |= member.replace(map.next_value()?).is_some();
                }
                Ok(envelope)
            }
        }
        d.deserialize_map(EnvelopeVisitor)
    }
}

enum KnownMember {
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

impl KnownMember {
    fn from_name(name: &str) -> KnownMember {
        match name {
            "jsonrpc" => KnownMember::Version,
            "id" => KnownMember::Id,
            "method" => KnownMember::Method,
            "params" => KnownMember::Params,
            "result" => KnownMember::Result,
            "error" => KnownMember::Error,
            "req-budget" => KnownMember::Budget,
            "req-path" => KnownMember::Path,
            "req-spent" => KnownMember::Spent,
            _ => KnownMember::Other,
        }
    }
}

/// Returns the name of a member, with escapes resolved; none if an escape is an unpaired surrogate.
pub(crate) fn member_name(raw: &RawValue) -> Option<Cow<'_, str>> {
    let unquoted = raw.get().strip_prefix('"')?.strip_suffix('"')?;
    if unquoted.contains('\\') {
        String::deserialize(raw).ok().map(Cow::Owned)
    } else {
        Some(Cow::Borrowed(unquoted))
    }
}

/// Returns the slice of a text that holds a value, without copying.
fn slice_of(text: &Bytes, value: &RawValue) -> Bytes {
    text.slice_ref(value.get().as_bytes())
}

fn is_id(value: &RawValue) -> bool {
    value
        .get()
        .starts_with(|c: char| c == '"' || c == '-' || c.is_ascii_digit())
        || value.get() == "null"
}

/// Strips a leading byte order mark, which parsers may ignore (RFC 8259, section 8.1).
fn strip_byte_order_mark(text: &Bytes) -> Bytes {
    text.strip_prefix(b"\xef\xbb\xbf")
        .map_or_else(|| text.clone(), |rest| text.slice_ref(rest))
}

/// Parses a client's text. A batch may have up to `max_batch_len` members.
pub fn parse(text: &Bytes, max_batch_len: usize) -> Result<Message, RequestError> {
    let text = &strip_byte_order_mark(text);
    let utf8 = std::str::from_utf8(text).map_err(|_| rejection(PARSE_ERROR, "UTF-8"))?;
    if !utf8.trim_start().starts_with('[') {
        return Ok(Message::Single(parse_call(text)));
    }
    let mut json = serde_json::Deserializer::from_str(utf8);
    let members = BatchMembers(max_batch_len)
        .deserialize(&mut json)
        .and_then(|members| json.end().map(|()| members));
    let members = members.map_err(|_| rejection(PARSE_ERROR, "JSON"))?;
    let members = members.ok_or(rejection(INVALID_REQUEST, "a smaller batch"))?;
    if members.is_empty() {
        return Err(rejection(INVALID_REQUEST, "a batch that is not empty"));
    }
    let members = members.into_iter().map(|member| slice_of(text, member));
    Ok(Message::Batch(members.collect()))
}

/// Collects the members of a batch; none if there are more than this number.
struct BatchMembers(usize);

impl<'de> DeserializeSeed<'de> for BatchMembers {
    type Value = Option<Vec<&'de RawValue>>;
    fn deserialize<D: de::Deserializer<'de>>(self, d: D) -> Result<Self::Value, D::Error> {
        d.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for BatchMembers {
    type Value = Option<Vec<&'de RawValue>>;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = seq.next_element::<&RawValue>()? {
            if members.len() == self.0 {
                // A syntax error in the rest takes precedence over the size of the batch.
                while seq.next_element::<IgnoredAny>()?.is_some() {}
                return Ok(None);
            }
            members.push(member);
        }
        Ok(Some(members))
    }
}

/// Parses a single call: a whole text, or a member of a batch.
pub fn parse_call(text: &Bytes) -> Result<Call, RequestError> {
    let utf8 = std::str::from_utf8(text).map_err(|_| rejection(PARSE_ERROR, "UTF-8"))?;
    let envelope: Envelope<'_> = match serde_json::from_str(utf8) {
        Ok(envelope) => envelope,
        // Valid JSON that is not an object.
        Err(error) if error.is_data() => return Err(rejection(INVALID_REQUEST, "an object")),
        Err(_) => return Err(rejection(PARSE_ERROR, "JSON")),
    };
    // With duplicate members, the id itself may be ambiguous.
    let has_duplicates = envelope.has_duplicates;
    let id = envelope.id.filter(|id| is_id(id) && !has_duplicates);
    let id = id.map(|id| slice_of(text, id));
    let invalid = |expected| {
        let id = id.clone().unwrap_or(NULL_ID);
        Err(RequestError {
            code: INVALID_REQUEST,
            expected,
            id,
        })
    };
    if has_duplicates {
        return invalid("each member once");
    }
    if envelope.id.is_some() && id.is_none() {
        return invalid("an id that is a text, a number or null");
    }
    if envelope.version.is_none_or(|v| v.get() != "\"2.0\"") {
        return invalid("`\"jsonrpc\": \"2.0\"`");
    }
    let Some(method) = envelope.method else {
        return invalid("a `method`");
    };
    let Ok(name) = serde_json::from_str::<String>(method.get()) else {
        return invalid("a `method` that is a text");
    };
    // Some clients send `null` for absent parameters.
    let is_valid = |params: &RawValue| params.get().starts_with(['{', '[', 'n']);
    if envelope.params.is_some_and(|params| !is_valid(params)) {
        return invalid("`params` that are an object or an array");
    }
    if envelope.result.is_some() || envelope.error.is_some() {
        return invalid("a call without `result` or `error`");
    }
    let raw_method = slice_of(text, method);
    let params = envelope.params.map(|params| slice_of(text, params));
    let budget_members = BudgetMembers {
        budget: envelope.budget.value(text),
        path: envelope.path.value(text),
    };
    Ok(Call {
        id,
        method: name,
        raw_method,
        params,
        budget_members,
    })
}

/// Parses a server's text.
pub fn parse_server_message(text: &Bytes) -> ServerMessage {
    let text = &strip_byte_order_mark(text);
    let Ok(utf8) = std::str::from_utf8(text) else {
        return ServerMessage::Invalid("UTF-8");
    };
    let Ok(envelope) = serde_json::from_str::<Envelope<'_>>(utf8) else {
        return ServerMessage::Invalid("an object");
    };
    if envelope.has_duplicates {
        return ServerMessage::Invalid("each member once");
    }
    if envelope.method.is_some() {
        return ServerMessage::Call(envelope.id.map(|id| slice_of(text, id)));
    }
    let Some(id) = envelope.id else {
        return ServerMessage::Invalid("an `id`");
    };
    let (name, value) = match (envelope.result, envelope.error) {
        (Some(result), None) => ("result", result),
        (None, Some(error)) => ("error", error),
        _ => return ServerMessage::Invalid("one of `result` and `error`"),
    };
    #[derive(Deserialize)]
    struct ErrorObject {
        code: i64,
    }
    let is_error = name == "error";
    let error_code = serde_json::from_str::<ErrorObject>(value.get())
        .ok()
        .filter(|_| is_error)
        .map(|error| error.code);
    let member = [b"\"", name.as_bytes(), b"\":", value.get().as_bytes()]
        .concat()
        .into();
    let retries_spent = envelope.spent.value(text);
    ServerMessage::Response(Response {
        id: slice_of(text, id),
        member,
        error_code,
        is_error,
        retries_spent,
    })
}
