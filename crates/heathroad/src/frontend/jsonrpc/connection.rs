//! The task of one JSON-RPC connection: reads texts, begins their calls, and writes their answers,
//! until the client has ended and has them all, or has left.

use super::JsonRpcFrontend;
use super::answer;
use super::exchange::{BoundCall, Exchanges, FinishedCall};
use super::listener::{IdleState, ListenerServer};
use super::stream_io::{close, read_or_wait};
use crate::frontend::batch_concurrency::BatchConcurrency;
use crate::frontend::connections::{FIRST_REQUEST_GRACE, MESSAGE_TIMEOUT};
use crate::runtime_accounting::{self, sleep_until, spawn_in};
use crate::stall_detector;
use crate::stream::peek;
use crate::time::millis;
use bytes::{Buf, Bytes, BytesMut};
use heathroad_jsonrpc::message::{NULL_ID, PARSE_ERROR, RequestError};
use heathroad_jsonrpc::{Decoder, Limits, write};
use heathroad_routing::config::Listener;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A client that takes nothing of its answers for so long has left.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// No further call is begun while so many bytes of answers wait to be written.
const MAX_OUTPUT: usize = 256 * 1024;
/// While as many calls run as may, the client's next call waits unread for so long; then it is
/// rejected.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(250);
/// Most brackets open at once in a text.
const MAX_DEPTH: u32 = 128;

/// HTTP's status for what cannot be parsed, by which it is counted.
const BAD_REQUEST: u16 = 400;
/// HTTP's status for what did not arrive whole in time.
const REQUEST_TIMEOUT: u16 = 408;

/// The client of a connection.
pub(super) struct Client {
    server: Rc<ListenerServer>,
    pub(super) peer: IpAddr,
    /// No new call is taken.
    pub(super) is_stopping: Cell<bool>,
}

/// How a connection's task ends.
enum End {
    /// The client has all its answers: the connection is closed gracefully.
    Finished,
    /// The client has left.
    Left,
}

/// What the task waits for next.
struct Wait {
    /// Whether more is read.
    reads: bool,
    /// Whether the connection has nothing to do.
    is_idle: bool,
    /// Whether a text has begun to arrive.
    is_receiving: bool,
    /// When the client is overdue.
    deadline: Instant,
    /// When the task looks again: at the deadline, or before.
    wake_at: Instant,
}

/// The state of a connection's task.
pub(super) struct Session {
    pub(super) client: Rc<Client>,
    decoder: Decoder,
    pub(super) exchanges: Exchanges,
    calls: JoinSet<FinishedCall>,
    concurrency: BatchConcurrency,
    /// Bytes that are to be written.
    output: BytesMut,
    /// The answer to what cannot be read any further, which is written last.
    last_answer: Option<Bytes>,
    /// No more is read.
    is_input_over: bool,
    /// When something was read, written or answered last.
    active_at: Instant,
    /// When the text that is arriving began.
    text_begun_at: Option<Instant>,
    /// Where as many calls run as may: until when the next one waits unread.
    unread_until: Option<Instant>,
    /// The earliest moment at which what was read last can have arrived.
    pub(super) arrival: Instant,
    /// Something was read.
    has_read: bool,
    /// At a stop, until when a client that has just come and sent nothing is waited for.
    first_request_by: Option<Instant>,
}

impl Client {
    /// Returns the client of an accepted connection.
    pub(super) fn new(server: Rc<ListenerServer>, peer: IpAddr) -> Client {
        Client {
            server,
            peer,
            is_stopping: Cell::new(false),
        }
    }

    pub(super) fn frontend(&self) -> &JsonRpcFrontend {
        &self.server.frontend
    }

    pub(super) fn listener(&self) -> &Listener {
        &self.server.listener
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(
        self: Rc<Self>,
        mut stream: TcpStream,
        idle: &IdleState,
        stop: watch::Receiver<bool>,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (mut reader, mut writer) = stream.split();
        let end = Session::new(self)
            .run(&mut reader, &mut writer, idle, stop)
            .await;
        if let End::Finished = end {
            close(&mut reader, &mut writer).await;
        }
    }
}

impl Session {
    fn new(client: Rc<Client>) -> Session {
        let (listener, now) = (client.listener(), Instant::now());
        let limits = Limits {
            max_text_bytes: listener.max_message_bytes,
            max_depth: MAX_DEPTH,
            max_batch_len: listener.max_batch_size,
        };
        Session {
            decoder: Decoder::new(listener.framing, limits),
            exchanges: Exchanges::default(),
            calls: JoinSet::new(),
            concurrency: BatchConcurrency::new(listener.max_concurrent_calls as usize),
            output: BytesMut::new(),
            last_answer: None,
            is_input_over: false,
            active_at: now,
            text_begun_at: None,
            unread_until: None,
            arrival: stall_detector::earliest_arrival(now),
            has_read: false,
            first_request_by: None,
            client,
        }
    }

    async fn run(
        mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        idle: &IdleState,
        mut stop: watch::Receiver<bool>,
    ) -> End {
        loop {
            self.reject_overdue_calls();
            self.begin_calls().await;
            let listener = self.client.listener();
            let (in_order, framing) = (listener.ordered_responses, listener.framing);
            self.exchanges
                .write_finished(in_order, framing, &mut self.output);
            if self.is_finished(reader) {
                return End::Finished;
            }
            let wait = self.next_wait();
            idle.since.set(wait.is_idle.then_some(self.active_at));
            tokio::select! {
                biased;
                written = writer.write(&self.output), if !self.output.is_empty() => {
                    let Ok(bytes @ 1..) = written else { return End::Left };
                    runtime_accounting::wrote();
                    self.output.advance(bytes);
                    self.active_at = Instant::now();
                }
                Some(finished) = self.calls.join_next(), if !self.calls.is_empty() => {
                    // A call's task neither panics nor is aborted while this one lives.
                    if let Ok(finished) = finished {
                        self.concurrency.record_answer(finished.is_rejected);
                        self.record_answer(finished);
                    }
                    self.active_at = Instant::now();
                }
                read = read_or_wait(reader, &mut self.decoder, wait.reads) => match read {
                    // The client may have ended its side only, and wait for its answers.
                    Ok(0) => self.end_input().await,
                    Ok(_) => self.record_read(),
                    Err(_) => return End::Left,
                },
                _ = stop.wait_for(|stop| *stop), if !self.client.is_stopping.get() => {
                    self.client.is_stopping.set(true);
                    self.first_request_by = Some(Instant::now() + FIRST_REQUEST_GRACE);
                }
                () = sleep_until(wait.wake_at) => {
                    if let Some(end) = self.record_timeout(&wait) {
                        return end;
                    }
                }
            }
        }
    }

    fn record_answer(&mut self, finished: FinishedCall) {
        let max_buffered_bytes = self.client.frontend().max_buffered_bytes;
        self.exchanges.record_answer(finished, max_buffered_bytes);
    }

    fn reject(&mut self, exchange: u64, call: BoundCall) {
        let finished = self.client.reject_call(exchange, call);
        self.record_answer(finished);
    }

    fn reject_overdue_calls(&mut self) {
        while let Some((exchange, call)) = self.exchanges.take_overdue(Instant::now()) {
            self.reject(exchange, call);
        }
    }

    /// Begins waiting calls, and reads further texts, as far as there is capacity.
    async fn begin_calls(&mut self) {
        while self.output.len() < MAX_OUTPUT {
            let has_capacity =
                self.calls.len() < self.client.listener().max_concurrent_calls as usize;
            self.unread_until = match has_capacity {
                true => None,
                false => self.unread_until.or(Some(Instant::now() + MAX_UNREAD_WAIT)),
            };
            let batch_limit = self.concurrency.limit();
            if let Some((exchange, call)) = self.exchanges.take_next(batch_limit, has_capacity) {
                self.begin_call(exchange, call);
                continue;
            }
            // No client is kept waiting unread for long: a call that finds no capacity then is
            // rejected.
            let is_crowded = self
                .unread_until
                .is_some_and(|until| until <= Instant::now());
            let may_read = has_capacity || is_crowded;
            if !may_read || !self.exchanges.has_capacity(self.client.listener()) {
                return;
            }
            match self.decoder.next_text() {
                Ok(Some(text)) => self.take_text(&text, is_crowded).await,
                Ok(None) => return,
                Err(_) if self.is_input_over => return,
                Err(broken) => return self.end_broken_input(answer::broken(broken), BAD_REQUEST),
            }
        }
    }

    fn begin_call(&mut self, exchange: u64, call: BoundCall) {
        if self.client.is_stopping.get() {
            self.reject(exchange, call);
        } else {
            spawn_in(
                &mut self.calls,
                self.client.clone().run_call(exchange, call),
            );
        }
    }

    /// Reads no more, since what came cannot be understood.
    fn end_broken_input(&mut self, last_answer: Bytes, status: u16) {
        self.last_answer = Some(last_answer);
        self.is_input_over = true;
        self.client
            .frontend()
            .pools
            .metrics()
            .record_unusable(status);
    }

    fn is_quiet(&self) -> bool {
        self.calls.is_empty() && self.exchanges.is_empty()
    }

    /// Returns whether the connection can be closed. Before that, the last answer is written.
    fn is_finished(&mut self, reader: &ReadHalf<'_>) -> bool {
        if !self.is_quiet() || !(self.is_input_over || self.is_stopped(reader)) {
            return false;
        }
        if let Some(last_answer) = self.last_answer.take() {
            write::frame(
                self.client.listener().framing,
                &last_answer,
                &mut self.output,
            );
        }
        self.output.is_empty()
    }

    /// Returns whether the connection is closed by a stop. What lies there to be read is read
    /// before.
    fn is_stopped(&self, reader: &ReadHalf<'_>) -> bool {
        let has_waited = |by: Instant| self.has_read || by <= Instant::now();
        self.client.is_stopping.get()
            && self.first_request_by.is_none_or(has_waited)
            && !matches!(peek(reader.as_ref()), Ok(1..))
    }

    /// Returns what the task waits for next.
    fn next_wait(&mut self) -> Wait {
        let now = Instant::now();
        let unread_until = self.unread_until.filter(|until| now < *until);
        let reads = !self.is_input_over
            && unread_until.is_none()
            && self.exchanges.has_capacity(self.client.listener())
            && self.output.len() < MAX_OUTPUT;
        let is_receiving = reads && self.decoder.has_pending_text();
        self.text_begun_at = is_receiving.then(|| self.text_begun_at.unwrap_or(now));
        let is_idle = self.is_quiet() && self.output.is_empty() && !is_receiving;
        let deadline = self.deadline(is_idle, now);
        let first_request_by = self
            .first_request_by
            .filter(|_| self.is_quiet() && !self.has_read);
        let earlier = [
            self.exchanges.first_reject_at(),
            unread_until,
            first_request_by,
        ];
        let wake_at = earlier.into_iter().flatten().fold(deadline, Instant::min);
        Wait {
            reads,
            is_idle,
            is_receiving,
            deadline,
            wake_at,
        }
    }

    /// Returns when the client is overdue.
    fn deadline(&self, is_idle: bool, now: Instant) -> Instant {
        match self.text_begun_at {
            _ if !self.output.is_empty() => self.active_at + WRITE_TIMEOUT,
            Some(begun_at) => begun_at + MESSAGE_TIMEOUT,
            None if is_idle => self.active_at + millis(self.client.listener().idle_timeout_ms),
            // Calls have deadlines of their own.
            None => now + WRITE_TIMEOUT,
        }
    }

    /// Acts on the time that a wait ended at; returns how the task ends, if it does.
    fn record_timeout(&mut self, wait: &Wait) -> Option<End> {
        if wait.wake_at < wait.deadline {
            return None;
        }
        if !self.output.is_empty() {
            return Some(End::Left);
        }
        if wait.is_receiving {
            let expected = "a whole text within 2 s";
            let late = RequestError {
                code: PARSE_ERROR,
                expected,
                id: NULL_ID,
            };
            self.end_broken_input(answer::malformed(&late), REQUEST_TIMEOUT);
            return None;
        }
        wait.is_idle.then_some(End::Finished)
    }

    fn record_read(&mut self) {
        self.has_read = true;
        self.active_at = Instant::now();
        self.arrival = stall_detector::earliest_arrival(self.active_at);
    }

    /// Takes the last text of a client that has ended its side.
    async fn end_input(&mut self) {
        self.is_input_over = true;
        if let Some(text) = self.decoder.finish() {
            self.take_text(&text, false).await;
        }
    }
}
