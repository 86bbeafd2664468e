//! Writes JSON-RPC texts from raw JSON values.

use crate::framing::Framing;
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::json;

/// Writes a response with an id and a `"result":...` or `"error":...` member.
pub fn response(id: &[u8], member: &[u8], out: &mut BytesMut) {
    out.reserve(id.len() + member.len() + 32);
    out.put_slice(b"{\"jsonrpc\":\"2.0\",");
    out.put_slice(member);
    out.put_slice(b",\"id\":");
    out.put_slice(id);
    out.put_u8(b'}');
}

/// Returns the `error` member of a response. The delay before a retry, in milliseconds, goes into
/// its `data`.
pub fn error_member(code: i64, message: &str, retry_after_ms: Option<u64>) -> Bytes {
    let mut error = json!({"code": code, "message": message});
    if let Some(ms) = retry_after_ms {
        error["data"] = json!({"retry_after_ms": ms});
    }
    format!("\"error\":{error}").into()
}

/// Adds the members of the retry budget extension to the end of a call. The values are strings that
/// need no escapes.
pub fn add_budget_members(call: &mut BytesMut, budget: &str, path: &str) {
    if call.last() == Some(&b'}') {
        call.truncate(call.len() - 1);
        call.put_slice(
            format!(",\"req-budget\":\"{budget}\",\"req-path\":\"{path}\"}}").as_bytes(),
        );
    }
}

/// Adds the `req-spent` member after the member of a response.
pub fn with_retries_spent(member: &[u8], spent: &str) -> Bytes {
    [member, b",\"req-spent\":\"", spent.as_bytes(), b"\""]
        .concat()
        .into()
}

/// Writes a call, or a notification if there is no id. `method` is a JSON string with its quotes.
pub fn call(id: Option<u64>, method: &[u8], params: Option<&[u8]>, out: &mut BytesMut) {
    out.reserve(method.len() + params.map_or(0, <[u8]>::len) + 64);
    out.put_slice(b"{\"jsonrpc\":\"2.0\",\"method\":");
    out.put_slice(method);
    if let Some(params) = params {
        out.put_slice(b",\"params\":");
        out.put_slice(params);
    }
    if let Some(id) = id {
        out.put_slice(b",\"id\":");
        out.put_slice(id.to_string().as_bytes());
    }
    out.put_u8(b'}');
}

/// Writes a text with its framing. With [`Framing::Lines`], line breaks within the text become
/// spaces. They can only be white space between tokens, since JSON strings contain none.
pub fn frame(framing: Framing, text: &[u8], out: &mut BytesMut) {
    match framing {
        Framing::Lines => {
            out.reserve(text.len() + 1);
            let start = out.len();
            out.put_slice(text);
            out[start..]
                .iter_mut()
                .filter(|b| matches!(b, b'\n' | b'\r'))
                .for_each(|b| *b = b' ');
            out.put_u8(b'\n');
        }
        Framing::Headers => {
            out.put_slice(format!("Content-Length: {}\r\n\r\n", text.len()).as_bytes());
            out.put_slice(text);
        }
        Framing::Concatenated => out.put_slice(text),
    }
}
