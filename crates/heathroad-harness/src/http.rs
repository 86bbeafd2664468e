//! HTTP/1.1 messages on raw sockets, as far as the emulators need it (RFC 9112): heads are parsed by
//! `httparse`, bodies have a length. It works on raw bytes, so that an emulator can truncate, corrupt
//! and delay responses, and a client can detect data after a response.

use serde_json::{Value, json};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum length of a message head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 64;
/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request as an emulator reads it.
#[derive(Debug, PartialEq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// `Req-Id`, a hexadecimal number.
    pub id: Option<u64>,
    /// `Idempotency-Key`, a hexadecimal number.
    pub key: Option<u64>,
    /// `Req-Deadline-Ms`.
    pub deadline_ms: Option<u64>,
    /// Length of the body, in bytes.
    pub body_length: usize,
    /// The JSON text of the `id` member of a JSON-RPC call.
    pub jsonrpc_id: Option<String>,
    /// `Req-Budget` and `Req-Path`, to be forwarded unchanged.
    pub budget_headers: [Option<String>; 2],
    /// `Req-Version`: the configuration version that the request was routed by.
    pub version: Option<String>,
    /// `Duty-Token` (hexadecimal), `Duty-Holder` and `Duty-Number` of a call by a lease holder.
    pub lease_headers: Option<(u64, String, u64)>,
}

/// A response as a client reads it.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// `Req-Spent`, to be forwarded unchanged.
    pub budget_spent: Option<String>,
    /// Whether the server closes the connection after it.
    pub close: bool,
    /// Body.
    pub body: Vec<u8>,
}

/// Why no message could be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended; true if part of a message had been received.
    Closed(bool),
    /// The message is malformed or too long.
    Malformed,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Closed(true)
    }
}

/// Bytes received on a connection and not yet consumed.
#[derive(Debug, Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    /// Returns whether no unread bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Receives more bytes.
    async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<(), ReadError> {
        match stream.read_buf(&mut self.0).await {
            Ok(0) => Err(ReadError::Closed(!self.0.is_empty())),
            Ok(_) => Ok(()),
            Err(_) => Err(ReadError::Closed(!self.0.is_empty())),
        }
    }

    /// Reads a message: a head that `parse` accepts, and the body whose length `parse` returns.
    async fn read_message<T>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize, usize)>, ReadError>,
    ) -> Result<(T, Vec<u8>), ReadError> {
        let (message, head, body) = loop {
            match parse(&self.0)? {
                Some(parsed) => break parsed,
                None if self.0.len() > MAX_HEAD_BYTES => return Err(ReadError::Malformed),
                None => self.fill(stream).await?,
            }
        };
        if body > MAX_BODY_BYTES {
            return Err(ReadError::Malformed);
        }
        while self.0.len() < head + body {
            self.fill(stream).await?;
        }
        let rest = self.0.split_off(head + body);
        let mut message_bytes = std::mem::replace(&mut self.0, rest);
        Ok((message, message_bytes.split_off(head)))
    }

    /// Waits for the first byte of the next message; false if the connection ends first.
    pub async fn wait_for_data(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> bool {
        !self.is_empty() || self.fill(stream).await.is_ok()
    }

    /// Reads a request.
    pub async fn request(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Request, ReadError> {
        let (mut request, body) = self.read_message(stream, parse_request).await?;
        request.body_length = body.len();
        Ok(request)
    }

    /// Returns whether the buffered bytes begin a JSON-RPC message rather than an HTTP head.
    pub fn is_jsonrpc(&self) -> bool {
        self.0.first() == Some(&b'{')
    }

    /// Reads a JSON-RPC call, one per line; its parameters hold the request id and the key.
    pub async fn jsonrpc_call(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Request, ReadError> {
        let end = loop {
            match self.0.iter().position(|b| *b == b'\n') {
                Some(end) => break end,
                None if self.0.len() > MAX_BODY_BYTES => return Err(ReadError::Malformed),
                None => self.fill(stream).await?,
            }
        };
        let rest = self.0.split_off(end + 1);
        let line = std::mem::replace(&mut self.0, rest);
        let call: Value = serde_json::from_slice(&line).map_err(|_| ReadError::Malformed)?;
        let hex = |name: &str| u64::from_str_radix(call["params"][name].as_str()?, 16).ok();
        Ok(Request {
            method: "POST".into(),
            target: format!("/{}", call["method"].as_str().unwrap_or_default()),
            id: hex("id"),
            key: hex("key"),
            deadline_ms: None,
            body_length: line.len(),
            jsonrpc_id: Some(call["id"].to_string()),
            budget_headers: [None, None],
            version: None,
            lease_headers: None,
        })
    }

    /// Reads a response, skipping provisional (1xx) ones.
    pub async fn response(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Response, ReadError> {
        loop {
            let (mut response, body) = self.read_message(stream, parse_response).await?;
            if response.status >= 200 {
                response.body = body;
                return Ok(response);
            }
        }
    }
}

fn header_text<'a>(headers: &'a [httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

fn lease_headers(headers: &[httparse::Header<'_>]) -> Option<(u64, String, u64)> {
    let (token, holder) = (
        header_hex(headers, "duty-token")?,
        header_text(headers, "duty-holder")?,
    );
    Some((
        token,
        holder.to_string(),
        header_text(headers, "duty-number")?.parse().ok()?,
    ))
}

fn header_hex(headers: &[httparse::Header], name: &str) -> Option<u64> {
    u64::from_str_radix(header_text(headers, name)?, 16).ok()
}

/// Returns the body length of a head: 0 by default. Repeated lengths and transfer codings are
/// rejected.
fn body_length(headers: &[httparse::Header]) -> Result<usize, ReadError> {
    if header_text(headers, "transfer-encoding").is_some() {
        return Err(ReadError::Malformed);
    }
    let mut lengths = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    let first = lengths.next();
    if lengths.next().is_some() {
        return Err(ReadError::Malformed);
    }
    match first {
        None => Ok(0),
        Some(h) => std::str::from_utf8(h.value)
            .ok()
            .and_then(|v| v.trim().parse().ok())
            .ok_or(ReadError::Malformed),
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes).map_err(|_| ReadError::Malformed)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(end) => end,
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        id: header_hex(head.headers, "req-id"),
        key: header_hex(head.headers, "idempotency-key"),
        deadline_ms: header_text(head.headers, "req-deadline-ms").and_then(|v| v.parse().ok()),
        body_length: 0,
        jsonrpc_id: None,
        budget_headers: ["req-budget", "req-path"]
            .map(|name| header_text(head.headers, name).map(str::to_string)),
        version: header_text(head.headers, "req-version").map(str::to_string),
        lease_headers: lease_headers(head.headers),
    };
    Ok(Some((request, end, body_length(head.headers)?)))
}

fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let end = match head.parse(bytes).map_err(|_| ReadError::Malformed)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(end) => end,
    };
    let status = head.code.unwrap_or_default();
    let response = Response {
        status,
        budget_spent: header_text(head.headers, "req-spent").map(str::to_string),
        retry_after: header_text(head.headers, "retry-after").and_then(|v| v.parse().ok()),
        close: header_text(head.headers, "connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close")),
        body: Vec::new(),
    };
    let bodiless = status < 200 || status == 204 || status == 304;
    Ok(Some((
        response,
        end,
        if bodiless {
            0
        } else {
            body_length(head.headers)?
        },
    )))
}

/// JSON-RPC error code of a backend that declines a call without processing it.
const DECLINED_CODE: i64 = -32050;

/// Encodes a response in the protocol of the request.
pub fn encode_reply(to: &Request, status: u16, headers: &str, body: &str) -> Vec<u8> {
    let Some(id) = &to.jsonrpc_id else {
        return encode_response(status, headers, body);
    };
    let error = |code: i64| json!({"code": code, "message": format!("status {status}")});
    let member = match status {
        200 => format!("\"result\":{}", json!(body)),
        503 => format!("\"error\":{}", error(DECLINED_CODE)),
        400 | 404 => format!("\"error\":{}", error(-32601)),
        _ => format!("\"error\":{}", error(-32603)),
    };
    format!("{{\"jsonrpc\":\"2.0\",{member},\"id\":{id}}}\n").into_bytes()
}

/// Encodes an HTTP response.
pub fn encode_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} \r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn pipelined_messages_are_read_one_at_a_time() {
        let mut bytes: &[u8] =
            b"POST /a?k=1 HTTP/1.1\r\nReq-Id: 1f\r\nIdempotency-Key: 2\r\nContent-Length: 3\r\n\r\n\
            abcGET /b HTTP/1.1\r\n\r\n";
        let mut buffer = Buffer::default();
        let one = buffer
            .request(&mut bytes)
            .await
            .expect("a complete message");
        assert_eq!(
            (one.method.as_str(), one.target.as_str(), one.body_length),
            ("POST", "/a?k=1", 3)
        );
        assert_eq!((one.id, one.key), (Some(0x1f), Some(2)));
        let two = buffer
            .request(&mut bytes)
            .await
            .expect("a complete message");
        assert_eq!((two.target.as_str(), two.id), ("/b", None));
        assert!(matches!(
            buffer.request(&mut bytes).await,
            Err(ReadError::Closed(false))
        ));
    }

    #[tokio::test]
    async fn json_rpc_calls_are_decoded_and_answered_in_json_rpc() {
        let mut bytes: &[u8] =
            b"{\"jsonrpc\":\"2.0\",\"method\":\"payout\",\"params\":{\"id\":\"1f\",\"key\":\"2\"},\"id\":7}\n{\"half";
        let mut buffer = Buffer::default();
        assert!(buffer.wait_for_data(&mut bytes).await && buffer.is_jsonrpc());
        let call = buffer
            .jsonrpc_call(&mut bytes)
            .await
            .expect("a complete message");
        assert_eq!(
            (call.target.as_str(), call.id, call.key),
            ("/payout", Some(0x1f), Some(2))
        );
        assert_eq!(
            encode_reply(&call, 200, "", "done"),
            b"{\"jsonrpc\":\"2.0\",\"result\":\"done\",\"id\":7}\n"
        );
        let declined = encode_reply(&call, 503, "", "");
        assert!(String::from_utf8_lossy(&declined).contains("\"code\":-32050"));
        assert!(matches!(
            buffer.jsonrpc_call(&mut bytes).await,
            Err(ReadError::Closed(true))
        ));
    }

    #[tokio::test]
    async fn closed_connections_and_malformed_responses_are_distinguished() {
        async fn read(mut bytes: &[u8]) -> Result<Response, ReadError> {
            Buffer::default().response(&mut bytes).await
        }
        assert!(matches!(read(b"").await, Err(ReadError::Closed(false))));
        assert!(matches!(
            read(b"HTTP/1.1 200 OK\r\nConte").await,
            Err(ReadError::Closed(true))
        ));
        assert!(matches!(
            read(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").await,
            Err(ReadError::Closed(true))
        ));
        assert!(matches!(
            read(b"\x01noise\r\n\r\n").await,
            Err(ReadError::Malformed)
        ));
        assert!(matches!(
            read(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n").await,
            Err(ReadError::Malformed)
        ));
        let good =
            read(b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 503 \r\nRetry-After: 0.25\r\nContent-Length: 2\r\n\r\nno")
                .await;
        let good = good.expect("a complete message");
        assert_eq!(
            (good.status, good.retry_after, good.body.as_slice()),
            (503, Some(0.25), &b"no"[..])
        );
    }
}
