//! Texts, made of parts that pass as they stand.

use crate::framing::Framing;
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::json;

/// An answer to an id: `"result":...` or `"error":...`.
pub fn response(id: &[u8], member: &[u8], out: &mut BytesMut) {
    out.reserve(id.len() + member.len() + 32);
    out.put_slice(b"{\"jsonrpc\":\"2.0\",");
    out.put_slice(member);
    out.put_slice(b",\"id\":");
    out.put_slice(id);
    out.put_u8(b'}');
}

/// The `error` member of an answer, with milliseconds after which to come back if that is to be
/// told.
pub fn error_member(code: i64, message: &str, retry_after_ms: Option<u64>) -> Bytes {
    let mut error = json!({"code": code, "message": message});
    if let Some(ms) = retry_after_ms {
        error["data"] = json!({"retry_after_ms": ms});
    }
    format!("\"error\":{error}").into()
}

/// A call's members of the extension for budgets, to be put before its end: plain texts, which need
/// no escapes.
pub fn add_budget_members(call: &mut BytesMut, budget: &str, path: &str) {
    if call.last() == Some(&b'}') {
        call.truncate(call.len() - 1);
        call.put_slice(
            format!(",\"req-budget\":\"{budget}\",\"req-path\":\"{path}\"}}").as_bytes(),
        );
    }
}

/// What was spent, behind the member of an answer.
pub fn with_retries_spent(member: &[u8], spent: &str) -> Bytes {
    [member, b",\"req-spent\":\"", spent.as_bytes(), b"\""]
        .concat()
        .into()
}

/// A call under an id of the sender's own, or a notification where there is none; `method` in
/// quotes.
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

/// A text as it goes out. In a framing of lines it must be one: line feeds between its tokens,
/// which mean nothing, are made spaces (inside of texts JSON allows none).
pub fn frame(framing: Framing, text: &[u8], out: &mut BytesMut) {
    match framing {
        Framing::Lines => {
            out.reserve(text.len() + 1);
            let from = out.len();
            out.put_slice(text);
            out[from..]
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
