//! The yardstick: a proxy that passes requests on to backends in turn, over kept connections, on
//! one thread, and does nothing else. What it takes is what hyper and the system take.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

type Error = Box<dyn std::error::Error + Send + Sync>;

struct Bare {
    nodes: Vec<SocketAddr>,
    turn: Cell<usize>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
}

/// Serves for ever, once it has told where.
pub fn serve(nodes: Vec<SocketAddr>, tell: impl FnOnce(SocketAddr)) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let idle = RefCell::new(nodes.iter().map(|_| Vec::new()).collect());
    let bare = Rc::new(Bare {
        nodes,
        turn: Cell::new(0),
        idle,
    });
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        tell(listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let bare = bare.clone();
            spawn_local(async move {
                let service = service_fn(|request| {
                    let bare = bare.clone();
                    async move { bare.pass(request).await }
                });
                // However it ends, its caller is gone.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

impl Bare {
    async fn pass(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Error> {
        let turn = self.turn.get();
        self.turn.set((turn + 1) % self.nodes.len());
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let idle = self.idle.borrow_mut()[turn]
            .pop()
            .filter(hyper::client::conn::http1::SendRequest::is_ready);
        let mut sender = match idle {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.nodes[turn]).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await?;
                spawn_local(connection);
                sender
            }
        };
        let answer = sender
            .send_request(Request::from_parts(head, Full::new(body)))
            .await?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        self.idle.borrow_mut()[turn].push(sender);
        Ok(Response::from_parts(head, Full::new(body)))
    }
}
