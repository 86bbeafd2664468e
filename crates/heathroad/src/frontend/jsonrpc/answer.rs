//! The texts of answers to JSON-RPC calls.

use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::message::{
    INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, NULL_ID, PARSE_ERROR, RequestError,
};
use heathroad_jsonrpc::{FramingError, write};
use std::time::Duration;

/// Rejected: a retry is harmless. This code and the next two are of the range that the
/// specification leaves to servers.
const REJECTED: i64 = -32001;
/// Failed: the call may have run.
const FAILED: i64 = -32002;
/// Failed since its time was over: the call may have run.
const TIMED_OUT: i64 = -32003;
/// Failed since the call goes round: it never ran, and no retry can help.
pub(super) const LOOP_DETECTED: i64 = -32008;

/// Returns an answer by its `result` or `error` member.
pub(super) fn answer(id: &Bytes, member: &[u8]) -> Bytes {
    let mut text = BytesMut::new();
    write::response(id, member, &mut text);
    text.freeze()
}

/// Returns the member of a rejection.
pub(super) fn rejected(retry_after: Option<Duration>) -> Bytes {
    let milliseconds = retry_after.map(|delay| delay.as_millis() as u64);
    let message = "refused: nothing was done, and trying again is harmless";
    write::error_member(REJECTED, message, milliseconds)
}

/// Returns the member of a failure.
pub(super) fn failed() -> Bytes {
    write::error_member(FAILED, "failed: it may have run", None)
}

/// Returns the member of a failure for want of memory for the answer.
pub(super) fn too_large_to_keep() -> Bytes {
    write::error_member(FAILED, "failed: there is no room for its answer", None)
}

/// Returns the member of a failure by timeout.
pub(super) fn timed_out() -> Bytes {
    write::error_member(
        TIMED_OUT,
        "failed: no answer in time; it may have run",
        None,
    )
}

/// Returns the answer to what is no call, or one that cannot be handled.
pub(super) fn malformed(wrong: &RequestError) -> Bytes {
    let name = match wrong.code {
        PARSE_ERROR => "Parse error",
        METHOD_NOT_FOUND => "Method not found",
        INVALID_PARAMS => "Invalid params",
        _ => "Invalid Request",
    };
    let message = format!("{name}: expected {}", wrong.expected);
    answer(&wrong.id, &write::error_member(wrong.code, &message, None))
}

/// Returns the answer to texts that cannot be told apart any further.
pub(super) fn broken(broken: FramingError) -> Bytes {
    let code = if broken == FramingError::TooLong {
        INVALID_REQUEST
    } else {
        PARSE_ERROR
    };
    malformed(&RequestError {
        code,
        expected: broken.expected(),
        id: NULL_ID,
    })
}
