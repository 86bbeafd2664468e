//! A duty whose work is somebody else's: its holder calls an address again and again, and nobody
//! else does. Each call carries the duty's name, the token, who holds it (place and life), and the
//! call's number; an address that keeps the highest token it has seen answers 412 to a lower one,
//! and may tell the highest in `Duty-Token`.

use super::worker::Hold;
use crate::configuration::lease::Call;
use crate::runtime_accounting::{sleep_until, spawn_local, timeout};
use bytes::Bytes;
use heathroad_lease::token::Token;
use http_body_util::Empty;
use hyper::client::conn::http1::handshake;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A call that takes longer has failed; whether it was taken is not known.
const PATIENCE: Duration = Duration::from_secs(2);
/// So many calls that fail in a row are a sign that they can't be made from here.
const FAILED: u32 = 3;

/// Calls for as long as the duty is held; why it can't.
pub async fn call(hold: Hold, to: Call) -> String {
    let number = |state: &[u8]| state.try_into().ok().map(u64::from_be_bytes);
    let mut next = hold
        .mark()
        .and_then(|m| number(&m.state))
        .map_or(1, |n| n.saturating_add(1));
    let (mut failed, mut at) = (0, Instant::now());
    loop {
        sleep_until(at).await;
        at = (at + to.every).max(Instant::now());
        if !hold.may() {
            return "it is no longer held".into();
        }
        match timeout(PATIENCE, one(&hold, &to, next)).await {
            Ok(Ok((status, _))) if status.is_success() => {
                failed = 0;
                // Not kept in time: this number may be called again, by this holder or the next.
                if hold.keep(next.to_be_bytes().to_vec()).await.is_ok() {
                    next = next.saturating_add(1);
                }
                continue;
            }
            Ok(Ok((StatusCode::PRECONDITION_FAILED, seen))) => {
                hold.overtaken(seen);
                return "a later holder has called".into();
            }
            Ok(Ok((status, _))) => tracing::debug!("duty {}: answered {status}", hold.name()),
            Ok(Err(e)) => tracing::debug!("duty {}: {e}", hold.name()),
            Err(_) => tracing::debug!("duty {}: no answer in time", hold.name()),
        }
        failed += 1;
        if failed >= FAILED {
            return format!("{}: {failed} calls in a row have failed", to.address);
        }
    }
}

async fn one(hold: &Hold, to: &Call, number: u64) -> Result<(StatusCode, Option<Token>), String> {
    let stream = TcpStream::connect(to.address)
        .await
        .map_err(|e| e.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let request = Request::post(&to.path)
        .header(header::HOST, to.address.to_string())
        .header("Duty", hold.name())
        .header("Duty-Token", hold.token().to_string())
        .header("Duty-Holder", hold.holder())
        .header("Duty-Number", number)
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    // It ends with the answer, or with the sender.
    let connection = spawn_local(connection);
    // Time may have gone by over the connection.
    if !hold.may() {
        return Err("it is no longer held".into());
    }
    let answer = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string());
    connection.abort();
    let answer = answer?;
    let seen = answer
        .headers()
        .get("Duty-Token")
        .and_then(|t| t.to_str().ok()?.parse().ok());
    Ok((answer.status(), seen))
}
