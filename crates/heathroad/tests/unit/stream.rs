//! Unit tests of watched streams.

use super::*;
use hyper::Request;
use hyper::client::conn::http1::handshake;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};

impl Unread for TokioIo<DuplexStream> {
    fn has_unread(&self) -> bool {
        false
    }
}

/// Sends a request with a body over a pipe, lets `other` do what it wants with the far end, and
/// tells whether the request got out whole before the connection broke.
async fn broken_after(body: usize, other: impl AsyncFnOnce(&mut DuplexStream)) -> bool {
    let (near, mut far) = duplex(1024);
    LocalSet::new()
        .run_until(async {
            let watched = WatchedStream::new(TokioIo::new(near));
            let progress = watched.progress();
            let (mut sender, connection) = handshake(watched).await.expect("nothing is sent yet");
            spawn_local(async move {
                let _ = connection.await;
            });
            let body = RequestBody::new(vec![b'x'; body].into(), progress.clone());
            let request = Request::post("/")
                .header("host", "b")
                .body(body)
                .expect("well formed");
            let answer = spawn_local(async move { sender.send_request(request).await.is_ok() });
            other(&mut far).await;
            drop(far);
            assert!(!answer.await.expect("no panic"), "nobody answers");
            progress.written() == Written::Complete
        })
        .await
}

async fn read_request(far: &mut DuplexStream, body: usize) {
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"\r\n\r\n") || !seen.ends_with(&vec![b'x'; body]) {
        assert_ne!(
            far.read_buf(&mut seen).await.expect("open"),
            0,
            "the request breaks off"
        );
    }
}

#[tokio::test]
async fn a_request_cut_short_never_ran() {
    // The far end takes a part of the body; the rest is still with the HTTP library.
    assert!(!broken_after(60_000, async |far| drop(far.read(&mut [0; 512]).await)).await);
    assert!(!broken_after(60_000, async |_| {}).await);
}

#[tokio::test]
async fn a_request_written_whole_may_have_run() {
    assert!(broken_after(60_000, async |far| read_request(far, 60_000).await).await);
    assert!(broken_after(0, async |far| read_request(far, 0).await).await);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_makes_no_headway_fails() {
    // The far end stays open and takes nothing: only the time limit ends this.
    assert!(!broken_after(60_000, async |_| sleep(WRITE_TIMEOUT * 2).await).await);
    let (near, _far) = duplex(8);
    let mut watched = WatchedStream::new(TokioIo::new(near));
    let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
    assert_eq!(write.await.expect("there is room"), 8);
    let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
    assert_eq!(
        write.await.expect_err("nobody reads").kind(),
        io::ErrorKind::TimedOut
    );
}

#[tokio::test]
async fn nothing_is_written_where_something_lies_unread() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let addr = listener.local_addr().expect("bound");
    let near = TcpStream::connect(addr).await.expect("it listens");
    let (mut far, _) = listener.accept().await.expect("it came");
    let mut watched = WatchedStream::new(TokioIo::new(near));
    let progress = watched.progress();
    let mut write = async |fresh: bool| {
        if fresh {
            progress.start_request();
        }
        std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, b"request")).await
    };
    assert_eq!(write(true).await.expect("clean"), 7);
    // A late answer, of which nobody here has been told. In the middle of a request it is no reason
    // to stop.
    far.write_all(b"late").await.expect("open");
    assert_eq!(write(false).await.expect("it goes on"), 7);
    assert_eq!(
        write(true).await.expect_err("unclean").kind(),
        io::ErrorKind::InvalidData
    );
    assert_eq!(progress.written(), Written::None);
}
