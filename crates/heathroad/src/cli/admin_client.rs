//! HTTP client of the command line for a running daemon's admin address.

use crate::runtime_accounting::timeout;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum time for a call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Sends one request and returns the text of the response, as an error unless its status is 200.
/// Without an address, `RELAY_ADMIN` is used.
pub fn call(
    admin: Option<SocketAddr>,
    method: Method,
    path: &str,
    body: String,
) -> Result<String, String> {
    let admin = match admin {
        Some(address) => address,
        None => {
            let address = std::env::var("RELAY_ADMIN")
                .map_err(|_| "no daemon is named: --admin or RELAY_ADMIN")?;
            address
                .parse()
                .map_err(|e| format!("RELAY_ADMIN: {address}: {e}"))?
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
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            let body = body.map_err(|e| e.to_string())?.to_bytes();
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        };
        tokio::select! {
            biased;
            result = exchange => result,
            _ = connection => Err("the connection was closed".to_string()),
        }
    };
    let result = runtime.block_on(async { timeout(CALL_TIMEOUT, call).await });
    let (status, text) = result
        .map_err(|_| format!("{admin}: no answer in time"))?
        .map_err(|e| format!("{admin}: {e}"))?;
    if status == StatusCode::OK {
        Ok(text)
    } else {
        Err(text)
    }
}
