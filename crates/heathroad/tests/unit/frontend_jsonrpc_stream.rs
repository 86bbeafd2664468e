//! Unit tests of the stream of a JSON-RPC connection.

use super::*;
use crate::runtime_accounting::sleep;
use std::io::Write;
use tokio::net::TcpListener;

/// A client that has written something and a stream that knows it.
async fn connection() -> (std::net::TcpStream, ClientStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let mut client = std::net::TcpStream::connect(address).expect("it listens");
    client.write_all(b"unread").expect("open");
    let (stream, _) = listener.accept().await.expect("a connection");
    (client, ClientStream::new(stream))
}

#[tokio::test]
async fn a_reset_behind_unread_input_is_seen() {
    let (client, stream) = connection().await;
    sleep(Duration::from_millis(20)).await;
    assert_eq!(stream.presence(), ClientPresence::Present);
    SockRef::from(&client)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
    drop(client);
    let seen = async {
        while stream.presence() == ClientPresence::Present {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(20), seen).await.expect("seen");
    assert_eq!(stream.presence(), ClientPresence::Left, "for good");
}

#[tokio::test]
async fn a_client_that_ended_its_side_is_there() {
    let (client, stream) = connection().await;
    client.shutdown(Shutdown::Write).expect("open");
    sleep(Duration::from_millis(20)).await;
    assert_eq!(stream.presence(), ClientPresence::Present);
    let mut buffer = BytesMut::new();
    let read = stream.read_or_wait(&mut buffer, true).await;
    assert_eq!(read.expect("open"), b"unread".len());
    let read = stream.read_or_wait(&mut buffer, true).await;
    assert_eq!(read.expect("open"), 0, "the end of its side");
    assert_eq!(stream.presence(), ClientPresence::Present);
}
