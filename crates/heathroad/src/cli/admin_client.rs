//! Asking a running daemon at its admin address, for the command line.

use crate::runtime_accounting::timeout;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// An answer that takes longer is not coming.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest answer.
const MAX_ANSWER: usize = 4 << 20;

/// One call; the answer's text, as an error where the daemon turns it down.
pub fn call(
    admin: Option<SocketAddr>,
    method: Method,
    path: &str,
    body: String,
) -> Result<String, String> {
    let admin = match admin {
        Some(address) => address,
        None => {
            let named = std::env::var("RELAY_ADMIN")
                .map_err(|_| "no daemon is named: --admin or RELAY_ADMIN")?;
            named
                .parse()
                .map_err(|e| format!("RELAY_ADMIN: {named}: {e}"))?
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let call = async {
        let stream = TcpStream::connect(admin).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, admin.to_string());
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| e.to_string())?;
        let exchange = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| e.to_string())?.to_bytes();
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        };
        tokio::select! {
            biased;
            done = exchange => done,
            _ = connection => Err("the connection was closed".to_string()),
        }
    };
    let answer = runtime.block_on(async { timeout(PATIENCE, call).await });
    let (status, text) = answer
        .map_err(|_| format!("{admin}: no answer in time"))?
        .map_err(|e| format!("{admin}: {e}"))?;
    if status == StatusCode::OK {
        Ok(text)
    } else {
        Err(text)
    }
}
