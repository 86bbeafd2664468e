//! Work that calls an HTTP server at an interval while the lease is held.
//!
//! Each call carries the lease's name, the token, the holder, and the call's number. A server that
//! checks tokens answers 412 if it has seen a higher token, and may return that token in
//! `Duty-Token`.

use super::worker::{LeaseHandle, WorkError};
use crate::configuration::lease::HttpCallSettings;
use crate::runtime_accounting::{sleep_until, spawn_local, timeout};
use bytes::Bytes;
use heathroad_lease::token::Token;
use http_body_util::Empty;
use hyper::client::conn::http1::handshake;
use hyper::{HeaderMap, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout of a call. The server may have acted on a call that timed out.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of consecutive failed calls after which the lease is resigned.
const MAX_FAILED_CALLS: u32 = 3;

/// Header with the name of the lease.
const LEASE_NAME_HEADER: &str = "Duty";
/// Header with the fencing token.
const TOKEN_HEADER: &str = "Duty-Token";
/// Header with the holder's member id and incarnation.
const HOLDER_HEADER: &str = "Duty-Holder";
/// Header with the number of the call.
const NUMBER_HEADER: &str = "Duty-Number";

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    #[error("invalid request")]
    InvalidRequest(#[source] hyper::http::Error),
    #[error("HTTP exchange failed")]
    Exchange(#[source] hyper::Error),
    #[error("timed out after {} s", CALL_TIMEOUT.as_secs())]
    Timeout,
    #[error("the lease is no longer held")]
    LeaseLost,
}

/// The answer to a call.
struct Answer {
    status: StatusCode,
    /// The highest token that the server has seen, if it returned it.
    highest_token: Option<Token>,
}

/// Calls the server at its interval until the lease is lost or the calls fail, and returns the
/// reason.
pub(super) async fn run_http_calls(handle: &LeaseHandle, target: &HttpCallSettings) -> WorkError {
    let mut number = first_number(handle);
    let mut failed_calls = 0;
    let mut call_at = Instant::now();
    loop {
        sleep_until(call_at).await;
        call_at = (call_at + target.interval).max(Instant::now());
        if !handle.is_held() {
            return WorkError::LeaseLost;
        }
        let result = timeout(CALL_TIMEOUT, call_once(handle, target, number)).await;
        match result.unwrap_or(Err(CallError::Timeout)) {
            Ok(answer) if answer.status.is_success() => {
                failed_calls = 0;
                // If the checkpoint is not stored, the number is used again by this holder or the
                // next.
                if handle
                    .store_checkpoint(number.to_be_bytes().to_vec())
                    .await
                    .is_ok()
                {
                    number = number.saturating_add(1);
                }
                continue;
            }
            Ok(answer) if answer.status == StatusCode::PRECONDITION_FAILED => {
                handle.resign_superseded(answer.highest_token);
                return WorkError::Superseded;
            }
            Ok(answer) => {
                tracing::debug!(
                    "lease {}: call answered with {}",
                    handle.name(),
                    answer.status
                );
            }
            Err(error) => log_failed_call(handle, &error),
        }
        failed_calls += 1;
        if failed_calls >= MAX_FAILED_CALLS {
            return WorkError::CallsFailed {
                address: target.address,
                count: failed_calls,
            };
        }
    }
}

/// Returns the number of the first call, which follows the number in the last checkpoint.
fn first_number(handle: &LeaseHandle) -> u64 {
    let state = handle
        .checkpoint()
        .and_then(|checkpoint| checkpoint.state.as_slice().try_into().ok());
    state.map_or(1, |bytes| u64::from_be_bytes(bytes).saturating_add(1))
}

fn log_failed_call(handle: &LeaseHandle, error: &CallError) {
    let name = handle.name();
    match std::error::Error::source(error) {
        Some(source) => tracing::debug!("lease {name}: call failed: {error}: {source}"),
        None => tracing::debug!("lease {name}: call failed: {error}"),
    }
}

async fn call_once(
    handle: &LeaseHandle,
    target: &HttpCallSettings,
    number: u64,
) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(target.address)
        .await
        .map_err(CallError::Connect)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Exchange)?;
    let request = Request::post(&target.path)
        .header(header::HOST, target.address.to_string())
        .header(LEASE_NAME_HEADER, handle.name())
        .header(TOKEN_HEADER, handle.token().to_string())
        .header(HOLDER_HEADER, handle.holder())
        .header(NUMBER_HEADER, number)
        .body(Empty::<Bytes>::new())
        .map_err(CallError::InvalidRequest)?;
    // The task ends when it is aborted after the answer, or when the sender is dropped.
    let connection = spawn_local(connection);
    // The lease may have expired while connecting.
    if !handle.is_held() {
        return Err(CallError::LeaseLost);
    }
    let response = sender.send_request(request).await;
    connection.abort();
    let response = response.map_err(CallError::Exchange)?;
    Ok(Answer {
        status: response.status(),
        highest_token: token_header(response.headers()),
    })
}

fn token_header(headers: &HeaderMap) -> Option<Token> {
    headers.get(TOKEN_HEADER)?.to_str().ok()?.parse().ok()
}
