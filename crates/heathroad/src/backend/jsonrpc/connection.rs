//! The state of a JSON-RPC connection: its pending calls, the messages to write, and the matching
//! of responses to calls. It does no I/O.

use super::Call;
use crate::backend::attempt::AttemptControl;
use crate::retry_budget::AttemptBudget;
use crate::safety::Denial;
use crate::stream::Written;
use bytes::{Buf, Bytes, BytesMut};
use heathroad_jsonrpc::message::{self, METHOD_NOT_FOUND, ServerMessage};
use heathroad_jsonrpc::{Framing, Response, write};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Maximum number of calls from a backend, which are all rejected, before its connection is closed.
const MAX_BACKEND_CALLS: usize = 16;
/// The id of outgoing messages that are not calls.
const NO_CALL_ID: u64 = 0;

/// How a call on a connection ended.
pub(super) enum CallEnd {
    /// With a response.
    Answered(Response),
    /// The call is a notification and was written.
    NotificationSent,
    /// Before anything of the call was written, the backend's drain grace period ended or the
    /// client left.
    Denied,
    /// The connection was lost after this much of the call was written.
    ConnectionLost(Written),
}

struct PendingCall {
    end: oneshot::Sender<CallEnd>,
    /// Records how much of the call is written.
    control: Rc<AttemptControl>,
    /// The deadline sent to the backend.
    expires_at: Instant,
    is_notification: bool,
}

/// An outgoing message.
struct Frame {
    id: u64,
    remaining: Bytes,
    /// Length of the line terminator, without which the message is already complete.
    terminator_length: usize,
}

impl Frame {
    fn new(id: u64, framing: Framing, text: &[u8]) -> Frame {
        let mut framed = BytesMut::new();
        write::frame(framing, text, &mut framed);
        Frame {
            id,
            remaining: framed.freeze(),
            terminator_length: usize::from(framing == Framing::Lines),
        }
    }
}

#[derive(Default)]
struct State {
    /// Messages of which nothing is written.
    queue: VecDeque<Frame>,
    /// The message that is being written.
    writing: Option<Frame>,
    pending: FxHashMap<u64, PendingCall>,
    /// Abandoned calls whose responses may still arrive.
    abandoned: HashSet<u64>,
    last_id: u64,
    backend_calls: usize,
    is_closing: bool,
    /// A message was abandoned when it was partially written. Nothing more may be written: the
    /// backend would receive the rest of the message, or take the next one for it.
    has_ended_writes: bool,
    has_ended: bool,
}

impl State {
    fn is_fully_written(&self, id: u64) -> bool {
        let pending = self.pending.get(&id);
        pending.is_some_and(|call| call.control.written() == Written::Complete)
    }

    /// Checks whether the client of a call is there, if nothing of the call is written yet.
    fn check_first_write(&self, id: u64) -> Result<(), Denial> {
        match self.pending.get(&id) {
            Some(call) if call.control.written() == Written::None => call.control.check_client(),
            _ => Ok(()),
        }
    }

    fn is_notification(&self, id: u64) -> bool {
        self.pending
            .get(&id)
            .is_some_and(|call| call.is_notification)
    }
}

/// A connection that carries several calls concurrently.
pub struct Connection {
    state: RefCell<State>,
    /// When the last call ended.
    idle_since: Cell<Instant>,
    /// Notifies the connection's task of changes.
    pub(super) wake: Notify,
}

/// A handle to wait for the end of a call. Dropping it abandons the call.
pub(super) struct CallHandle {
    connection: Rc<Connection>,
    id: u64,
    pub(super) end: oneshot::Receiver<CallEnd>,
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        self.connection.abandon(self.id);
    }
}

impl Connection {
    /// Returns a connection without calls.
    pub(super) fn new() -> Connection {
        Connection {
            state: RefCell::default(),
            idle_since: Cell::new(Instant::now()),
            wake: Notify::new(),
        }
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        !self.state.borrow().has_ended
    }

    /// Returns how long the connection has been idle; `None` if it has pending calls or is closing.
    pub fn idle_time(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let is_idle = state.pending.is_empty() && !state.is_closing && !state.has_ended;
        is_idle.then(|| self.idle_since.get().elapsed())
    }

    /// Stops accepting calls and closes the connection once the last call has ended.
    pub fn close(&self) {
        self.state.borrow_mut().is_closing = true;
        self.wake.notify_one();
    }

    /// Returns the number of pending calls if the connection accepts another one. It accepts none
    /// while a response is overdue.
    pub(super) fn load(&self, max_calls: usize, now: Instant) -> Option<usize> {
        let state = self.state.borrow();
        let has_capacity = !state.is_closing && !state.has_ended && state.pending.len() < max_calls;
        let is_available = has_capacity && state.pending.values().all(|call| now < call.expires_at);
        is_available.then(|| state.pending.len())
    }

    /// Queues a call for writing.
    pub(super) fn start_call(
        self: &Rc<Self>,
        call: &Call,
        expires_at: Instant,
        control: &Rc<AttemptControl>,
        budget: Option<&AttemptBudget>,
    ) -> CallHandle {
        let (sender, end) = oneshot::channel();
        let state = &mut *self.state.borrow_mut();
        state.last_id += 1;
        let id = state.last_id;
        let text = call.to_message(id, expires_at, budget);
        state
            .queue
            .push_back(Frame::new(id, call.transport.framing, &text));
        control.assign_connection(None);
        let pending = PendingCall {
            end: sender,
            control: control.clone(),
            expires_at,
            is_notification: call.is_notification,
        };
        state.pending.insert(id, pending);
        self.wake.notify_one();
        CallHandle {
            connection: self.clone(),
            id,
            end,
        }
    }

    /// Abandons a call whose response is no longer needed. Nothing more of it is written, unless it
    /// lacks the line terminator alone.
    fn abandon(&self, id: u64) {
        let state = &mut *self.state.borrow_mut();
        let Some(call) = state.pending.remove(&id) else {
            return;
        };
        self.idle_since.set(Instant::now());
        match call.control.written() {
            Written::None => {
                state.queue.retain(|frame| frame.id != id);
                state.writing.take_if(|frame| frame.id == id);
                return;
            }
            Written::Partial => self.end_writes(state),
            Written::Complete => {
                state.abandoned.insert(id);
            }
        }
        // The connection accepts no new calls, since the response may still arrive or the
        // connection may be broken. It closes once no calls are pending.
        state.is_closing = true;
        self.wake.notify_one();
    }

    /// Ends the writing of messages for good. Queued calls end as never written.
    fn end_writes(&self, state: &mut State) {
        state.has_ended_writes = true;
        state.writing = None;
        self.end_queued_calls(state, || CallEnd::ConnectionLost(Written::None));
    }

    fn end_queued_calls(&self, state: &mut State, end: impl Fn() -> CallEnd) {
        for frame in std::mem::take(&mut state.queue) {
            self.end_call(state, frame.id, end());
        }
    }

    /// Returns the bytes to write next. Once the backend is drained, queued calls end and only a
    /// message that is partially written is completed. A call whose client is not there any more
    /// ends as well, unless a part of it is written.
    pub(super) fn next_bytes(&self, is_drained: bool) -> Option<Bytes> {
        let state = &mut *self.state.borrow_mut();
        if state.has_ended_writes {
            return None;
        }
        if state.writing.is_none() && is_drained {
            self.end_queued_calls(state, || CallEnd::Denied);
        }
        loop {
            if state.writing.is_none() {
                state.writing = state.queue.pop_front();
            }
            let frame = state.writing.as_ref()?;
            let (id, remaining) = (frame.id, frame.remaining.clone());
            if state.check_first_write(id).is_ok() {
                return Some(remaining);
            }
            state.writing = None;
            self.end_call(state, id, CallEnd::Denied);
        }
    }

    /// Records the number of bytes that were written.
    pub(super) fn record_written(&self, bytes: usize) {
        let state = &mut *self.state.borrow_mut();
        let Some(frame) = &mut state.writing else {
            return;
        };
        frame.remaining.advance(bytes);
        let is_complete = frame.remaining.len() <= frame.terminator_length;
        let (id, is_done) = (frame.id, frame.remaining.is_empty());
        if let Some(call) = state.pending.get(&id) {
            call.control.set_written(if is_complete {
                Written::Complete
            } else {
                Written::Partial
            });
        }
        if is_complete && state.is_notification(id) {
            self.end_call(state, id, CallEnd::NotificationSent);
        }
        if is_done {
            state.writing = None;
        }
    }

    fn end_call(&self, state: &mut State, id: u64, end: CallEnd) {
        if let Some(call) = state.pending.remove(&id) {
            self.idle_since.set(Instant::now());
            // The receiver may have been dropped.
            let _ = call.end.send(end);
        }
    }

    /// Handles a message from the backend; returns false if the connection must be closed because
    /// the backend violates the protocol.
    pub(super) fn handle_message(&self, text: &Bytes, framing: Framing) -> bool {
        match message::parse_server_message(text) {
            ServerMessage::Response(answer) => self.handle_response(answer),
            ServerMessage::Call(None) => true,
            ServerMessage::Call(Some(id)) => self.reject_backend_call(&id, framing),
            ServerMessage::Invalid(_) => false,
        }
    }

    fn handle_response(&self, answer: Response) -> bool {
        let state = &mut *self.state.borrow_mut();
        let id = std::str::from_utf8(&answer.id)
            .ok()
            .and_then(|id| id.parse().ok());
        let Some(id) = id else { return false };
        // A call that is not fully written cannot have a response.
        if state.is_fully_written(id) && !state.is_notification(id) {
            self.end_call(state, id, CallEnd::Answered(answer));
            return true;
        }
        // The late response of an abandoned call is discarded. After a response with an unknown id
        // or a duplicate one, the ids of other responses cannot be trusted.
        state.abandoned.remove(&id)
    }

    /// Rejects a call from the backend; returns false if there were too many.
    fn reject_backend_call(&self, id: &Bytes, framing: Framing) -> bool {
        let state = &mut *self.state.borrow_mut();
        let error = write::error_member(METHOD_NOT_FOUND, "no calls are taken here", None);
        let mut text = BytesMut::new();
        write::response(id, &error, &mut text);
        state
            .queue
            .push_back(Frame::new(NO_CALL_ID, framing, &text));
        state.backend_calls += 1;
        state.backend_calls <= MAX_BACKEND_CALLS
    }

    /// Returns whether the connection is closing and its last call has ended.
    pub(super) fn is_finished(&self) -> bool {
        let state = self.state.borrow();
        state.is_closing && state.pending.is_empty()
    }

    /// Marks the connection as ended and ends all its calls.
    pub(super) fn end(&self) {
        let state = &mut *self.state.borrow_mut();
        state.has_ended = true;
        state.queue.clear();
        for (_, call) in state.pending.drain() {
            // The receiver may have been dropped.
            let _ = call
                .end
                .send(CallEnd::ConnectionLost(call.control.written()));
        }
    }
}

impl Call {
    /// Encodes the call with an id.
    fn to_message(&self, id: u64, expires_at: Instant, budget: Option<&AttemptBudget>) -> BytesMut {
        let id = (!self.is_notification).then_some(id);
        let mut text = BytesMut::new();
        write::call(id, &self.method, self.params.as_deref(), &mut text);
        if let Some(budget) = budget {
            let remaining_time = expires_at.saturating_duration_since(Instant::now());
            let (budget, path) = budget.header_values(remaining_time);
            write::add_budget_members(&mut text, &budget, path);
        }
        text
    }
}
