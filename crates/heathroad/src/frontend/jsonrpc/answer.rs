//! Builds JSON-RPC responses and their `result` and `error` members.

use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::message::{
    INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, NULL_ID, PARSE_ERROR, RequestError,
};
use heathroad_jsonrpc::{FramingError, write};
use std::time::Duration;

/// The call was rejected and did not run; a retry is safe. Like the codes below, in the range that
/// the specification reserves for server errors.
const REJECTED: i64 = -32001;
/// The call failed and may have run.
const FAILED: i64 = -32002;
/// The call timed out and may have run.
const TIMED_OUT: i64 = -32003;
/// The call is in a forwarding loop: it did not run, and a retry cannot succeed.
pub(super) const LOOP_DETECTED: i64 = -32008;

/// Builds a response from an ID and a `result` or `error` member.
pub(super) fn answer(id: &Bytes, member: &[u8]) -> Bytes {
    let mut text = BytesMut::new();
    write::response(id, member, &mut text);
    text.freeze()
}

/// Returns the `error` member for a rejected call.
pub(super) fn rejected(retry_after: Option<Duration>) -> Bytes {
    let milliseconds = retry_after.map(|delay| delay.as_millis() as u64);
    let message = "refused: nothing was done, and trying again is harmless";
    write::error_member(REJECTED, message, milliseconds)
}

/// Returns the `error` member for a failed call.
pub(super) fn failed() -> Bytes {
    write::error_member(FAILED, "failed: it may have run", None)
}

/// Returns the `error` member for a call whose response exceeds the buffer space.
pub(super) fn no_buffer_space() -> Bytes {
    write::error_member(FAILED, "failed: there is no room for its answer", None)
}

/// Returns the `error` member for a call that timed out.
pub(super) fn timed_out() -> Bytes {
    write::error_member(
        TIMED_OUT,
        "failed: no answer in time; it may have run",
        None,
    )
}

/// Builds the response to an invalid message or call.
pub(super) fn malformed(error: &RequestError) -> Bytes {
    let name = match error.code {
        PARSE_ERROR => "Parse error",
        METHOD_NOT_FOUND => "Method not found",
        INVALID_PARAMS => "Invalid params",
        _ => "Invalid Request",
    };
    let message = format!("{name}: expected {}", error.expected);
    answer(&error.id, &write::error_member(error.code, &message, None))
}

/// Builds the response to a framing error, after which no further messages can be decoded.
pub(super) fn framing_error(error: FramingError) -> Bytes {
    let code = if error == FramingError::TooLong {
        INVALID_REQUEST
    } else {
        PARSE_ERROR
    };
    malformed(&RequestError {
        code,
        expected: error.expected(),
        id: NULL_ID,
    })
}
