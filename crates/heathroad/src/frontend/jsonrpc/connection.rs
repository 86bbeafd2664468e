//! The task of one JSON-RPC connection: reads messages, starts their calls, and writes the answers,
//! until all are written after the end of input, or the client disconnects.

use super::JsonRpcFrontend;
use super::exchange::{BoundCall, Exchanges, FinishedCall};
use super::listener::{IdleState, ListenerServer};
use super::message_reader::{InputError, MessageReader};
use super::output_buffer::OutputBuffer;
use super::stream_io::ClientStream;
use crate::frontend::batch_concurrency::BatchConcurrency;
use crate::frontend::connections::{FIRST_REQUEST_GRACE, MESSAGE_TIMEOUT};
use crate::runtime_accounting::{sleep_until, spawn_in};
use crate::safety::{ClientConnection, ClientHandle, ClientPresence};
use crate::stall_detector;
use crate::time::millis;
use bytes::Bytes;
use heathroad_jsonrpc::write;
use heathroad_routing::config::Listener;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};
use tokio::time::Instant;

/// Timeout of writing answers without progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of messages that are decoded before the task yields.
const MESSAGES_PER_YIELD: usize = 16;
/// Maximum time that input stays unread at the limit of running calls. After that, further calls
/// are read and rejected.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(250);

/// The client of a connection.
pub(super) struct Client {
    server: Rc<ListenerServer>,
    pub(super) peer: IpAddr,
    /// Whether shutdown has begun, so that new calls are rejected.
    pub(super) is_stopping: Cell<bool>,
}

/// How a connection's session ends.
enum SessionEnd {
    /// All answers are written, and the connection is closed gracefully.
    Finished,
    /// The client has disconnected or is considered lost.
    Disconnected,
}

/// The conditions of the task's next wait.
struct Wait {
    /// Whether input is read.
    reads: bool,
    /// Whether no call, input or output is in progress.
    is_idle: bool,
    /// Whether a message is partially received.
    is_receiving: bool,
    /// When the client is overdue.
    deadline: Instant,
    /// When the task wakes up: at the deadline or earlier.
    wake_at: Instant,
}

/// The state of a connection's task.
pub(super) struct Session {
    pub(super) client: Rc<Client>,
    stream: Rc<ClientStream>,
    pub(super) messages: MessageReader,
    pub(super) exchanges: Exchanges,
    calls: JoinSet<FinishedCall>,
    concurrency: BatchConcurrency,
    output: OutputBuffer,
    /// The answer to a decoding error or timeout, written after all others.
    last_answer: Option<Bytes>,
    /// Whether reading has ended.
    pub(super) has_input_ended: bool,
    /// When input, output or an answer last made progress.
    last_activity: Instant,
    /// At the limit of running calls, until when input stays unread.
    unread_until: Option<Instant>,
    /// The earliest time at which the data of the last read can have arrived.
    pub(super) arrival: Instant,
    /// Whether any data was read.
    has_read: bool,
    /// During shutdown, the deadline for the first message of a client that has sent none.
    first_message_deadline: Option<Instant>,
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

    /// Serves the connection until it closes.
    pub(super) async fn run(
        self: Rc<Self>,
        stream: TcpStream,
        idle: &IdleState,
        stop: watch::Receiver<bool>,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(ClientStream::new(stream));
        let end = Session::new(self, stream.clone()).run(idle, stop).await;
        if let SessionEnd::Finished = end {
            stream.close().await;
        }
    }
}

impl Session {
    fn new(client: Rc<Client>, stream: Rc<ClientStream>) -> Session {
        let (listener, now) = (client.listener(), Instant::now());
        let frontend = client.frontend();
        let (table, max_buffered_bytes) = (&frontend.table, frontend.max_buffered_bytes);
        Session {
            messages: MessageReader::new(listener, table, max_buffered_bytes, now),
            exchanges: Exchanges::default(),
            calls: JoinSet::new(),
            concurrency: BatchConcurrency::new(listener.max_concurrent_calls as usize),
            output: OutputBuffer::new(table, max_buffered_bytes),
            last_answer: None,
            has_input_ended: false,
            last_activity: now,
            unread_until: None,
            arrival: stall_detector::earliest_arrival(now),
            has_read: false,
            first_message_deadline: None,
            stream,
            client,
        }
    }

    async fn run(mut self, idle: &IdleState, mut stop: watch::Receiver<bool>) -> SessionEnd {
        let stream = self.stream.clone();
        loop {
            if stream.presence() == ClientPresence::Left {
                return SessionEnd::Disconnected;
            }
            let now = Instant::now();
            self.reject_overdue_calls(now);
            self.start_calls(now).await;
            self.write_finished_answers();
            self.reserve_input();
            if self.is_finished() {
                return SessionEnd::Finished;
            }
            let wait = self.next_wait(now);
            idle.since.set(wait.is_idle.then_some(self.last_activity));
            tokio::select! {
                biased;
                written = stream.write(self.output.bytes()), if !self.output.is_empty() => {
                    let Ok(bytes @ 1..) = written else { return SessionEnd::Disconnected };
                    self.output.advance(bytes);
                    self.last_activity = Instant::now();
                }
                Some(finished) = self.calls.join_next(), if !self.calls.is_empty() => {
                    // A call's task does not panic and is not aborted during the session.
                    if let Ok(finished) = finished {
                        self.concurrency.record_answer(finished.is_rejected);
                        self.record_answer(finished);
                    }
                    self.last_activity = Instant::now();
                }
                read = stream.read_or_wait(self.messages.buffer(), wait.reads) => match read {
                    // The client may have closed only its sending side and still expect answers.
                    Ok(0) => self.end_input().await,
                    Ok(_) => self.record_read(),
                    Err(_) => return SessionEnd::Disconnected,
                },
                _ = stop.wait_for(|stop| *stop), if !self.client.is_stopping.get() => {
                    self.client.is_stopping.set(true);
                    self.first_message_deadline = Some(Instant::now() + FIRST_REQUEST_GRACE);
                }
                () = sleep_until(wait.wake_at) => {
                    if let Some(end) = self.handle_timeout(&wait) {
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

    fn reject_overdue_calls(&mut self, now: Instant) {
        while let Some((exchange, call)) = self.exchanges.take_overdue(now) {
            self.reject(exchange, call);
        }
    }

    fn write_finished_answers(&mut self) {
        let listener = self.client.listener();
        let (in_order, framing) = (listener.ordered_responses, listener.framing);
        let exchanges = &mut self.exchanges;
        self.output
            .append(|output| exchanges.write_finished(in_order, framing, output));
    }

    /// Returns whether another message may be decoded, after the answers that free capacity.
    fn has_message_capacity(&mut self) -> bool {
        if !self.exchanges.has_capacity(self.client.listener()) {
            self.write_finished_answers();
        }
        self.exchanges.has_capacity(self.client.listener())
    }

    /// Starts waiting calls and decodes further messages while there is capacity.
    async fn start_calls(&mut self, now: Instant) {
        let mut decoded = 0;
        while self.output.has_capacity() {
            let has_capacity =
                self.calls.len() < self.client.listener().max_concurrent_calls as usize;
            self.unread_until = match has_capacity {
                true => None,
                false => self.unread_until.or(Some(now + MAX_UNREAD_WAIT)),
            };
            let batch_limit = self.concurrency.limit();
            if let Some((exchange, call)) = self.exchanges.take_next(batch_limit, has_capacity) {
                self.start_call(exchange, call);
                continue;
            }
            // After the maximum wait, calls without capacity are read and rejected.
            let is_crowded = self.unread_until.is_some_and(|until| until <= now);
            let may_read = has_capacity || is_crowded;
            if !may_read || !self.has_message_capacity() {
                return;
            }
            match self.messages.next(now) {
                Ok(Some(text)) => {
                    self.accept_message(&text, is_crowded).await;
                    decoded += 1;
                    if decoded % MESSAGES_PER_YIELD == 0 {
                        // Keeps a fast client from blocking other tasks and the reactor.
                        yield_now().await;
                    }
                }
                Ok(None) => return,
                Err(_) if self.has_input_ended => return,
                Err(error) => return self.abort_input(InputError::Framing(error)),
            }
        }
    }

    fn start_call(&mut self, exchange: u64, call: BoundCall) {
        if self.client.is_stopping.get() {
            self.reject(exchange, call);
        } else {
            let client = ClientHandle::new(&self.stream);
            spawn_in(
                &mut self.calls,
                self.client.clone().run_call(exchange, call, client),
            );
        }
    }

    /// Stops reading after an error, which `last_answer` reports to the client.
    pub(super) fn abort_input(&mut self, error: InputError) {
        self.last_answer = Some(error.to_answer());
        self.log_input_end(Some(error));
        self.has_input_ended = true;
        let metrics = self.client.frontend().pools.metrics();
        metrics.record_unusable(error.status());
    }

    fn log_input_end(&self, error: Option<InputError>) {
        let listener = &self.client.listener().name;
        self.messages.log_end(listener, error, self.calls.len());
    }

    fn is_quiescent(&self) -> bool {
        self.calls.is_empty() && self.exchanges.is_empty()
    }

    /// Returns whether the connection can be closed. Queues the last answer first, if there is one.
    fn is_finished(&mut self) -> bool {
        if !self.is_quiescent() || !(self.has_input_ended || self.is_stopped()) {
            return false;
        }
        if let Some(last_answer) = self.last_answer.take() {
            let framing = self.client.listener().framing;
            self.output
                .append(|output| write::frame(framing, &last_answer, output));
        }
        self.output.is_empty()
    }

    /// Returns whether shutdown may close the connection: no unread input is left, and the client
    /// had time for its first message.
    fn is_stopped(&self) -> bool {
        let has_waited = |deadline: Instant| self.has_read || deadline <= Instant::now();
        self.client.is_stopping.get()
            && self.first_message_deadline.is_none_or(has_waited)
            && !self.stream.has_unread()
    }

    /// Returns the conditions of the next wait. Nothing is read before the complete messages that
    /// were read are decoded.
    fn next_wait(&mut self, now: Instant) -> Wait {
        let unread_until = self.unread_until.filter(|until| now < *until);
        let reads = !self.has_input_ended
            && self.messages.is_drained()
            && unread_until.is_none()
            && self.exchanges.has_capacity(self.client.listener())
            && self.output.has_capacity();
        let is_receiving = self.messages.update_timer(reads, now);
        let is_idle = self.is_quiescent() && self.output.is_empty() && !is_receiving;
        let deadline = self.deadline(is_idle, now);
        let first_message_deadline = self
            .first_message_deadline
            .filter(|_| self.is_quiescent() && !self.has_read);
        let earlier = [
            self.exchanges.first_reject_at(),
            unread_until,
            first_message_deadline,
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
        match self.messages.started_at() {
            _ if !self.output.is_empty() => self.last_activity + WRITE_TIMEOUT,
            Some(started_at) => started_at + MESSAGE_TIMEOUT,
            None if is_idle => self.last_activity + millis(self.client.listener().idle_timeout_ms),
            // Calls have their own deadlines.
            None => now + WRITE_TIMEOUT,
        }
    }

    /// Handles the end of a wait by time; returns how the session ends, if it does.
    fn handle_timeout(&mut self, wait: &Wait) -> Option<SessionEnd> {
        if wait.wake_at < wait.deadline {
            return None;
        }
        if !self.output.is_empty() {
            return Some(SessionEnd::Disconnected);
        }
        if wait.is_receiving {
            self.abort_input(InputError::Late);
            return None;
        }
        wait.is_idle.then_some(SessionEnd::Finished)
    }

    fn record_read(&mut self) {
        self.has_read = true;
        self.messages.record_read();
        self.last_activity = Instant::now();
        self.arrival = stall_detector::earliest_arrival(self.last_activity);
    }

    /// Handles the end of input, including a final message without a terminator.
    async fn end_input(&mut self) {
        self.log_input_end(None);
        self.has_input_ended = true;
        if let Some(text) = self.messages.finish() {
            self.accept_message(&text, false).await;
        }
    }
}
