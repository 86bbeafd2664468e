//! A JSON-RPC connection's state: the calls that it carries, which of their texts are written, and
//! whom an answer belongs to. It does no I/O.

use super::Call;
use crate::backend::attempt::AttemptControl;
use crate::retry_budget::AttemptBudget;
use crate::stream::Written;
use bytes::{Buf, Bytes, BytesMut};
use heathroad_jsonrpc::message::{self, METHOD_NOT_FOUND, Reply};
use heathroad_jsonrpc::{Answer, Framing, write};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// A backend may call the proxy so often, which takes no calls, before its connection is closed.
const MAX_BACKEND_CALLS: usize = 16;
/// The id of texts that are no calls of ours.
const NO_CALL: u64 = 0;

/// How a call on a connection ended.
pub(super) enum CallEnd {
    /// The backend answered it.
    Answered(Answer),
    /// It is a notification, and is written.
    NotificationSent,
    /// The backend was told to drain before the call's first byte was written.
    Drained,
    /// The connection ended, with so much of the call written.
    ConnectionLost(Written),
}

struct PendingCall {
    end: oneshot::Sender<CallEnd>,
    /// Holds how far it was written.
    control: Rc<AttemptControl>,
    /// The backend should have answered by then.
    expires_at: Instant,
    is_notification: bool,
}

/// A text that is written.
struct Frame {
    id: u64,
    remaining: Bytes,
    /// Bytes behind the text, without which a reader has the whole of it: a line's end.
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
    /// Texts that are not begun to be written.
    queue: VecDeque<Frame>,
    /// The text that is begun.
    writing: Option<Frame>,
    pending: FxHashMap<u64, PendingCall>,
    /// Calls that nobody waits for any more, whose answers may still come.
    abandoned: HashSet<u64>,
    last_id: u64,
    backend_calls: usize,
    is_closing: bool,
    has_ended: bool,
}

impl State {
    fn is_written_whole(&self, id: u64) -> bool {
        let pending = self.pending.get(&id);
        pending.is_some_and(|call| call.control.written() == Written::Complete)
    }

    fn is_notification(&self, id: u64) -> bool {
        self.pending
            .get(&id)
            .is_some_and(|call| call.is_notification)
    }
}

/// A connection that carries several calls at once.
pub struct Connection {
    state: RefCell<State>,
    /// When its last call ended.
    idle_since: Cell<Instant>,
    /// Notifies the connection's task that there is something to do.
    pub(super) wake: Notify,
}

/// A call whose end is waited for. If it is dropped before that, the call is abandoned.
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

    /// Returns whether it has not ended.
    pub fn is_open(&self) -> bool {
        !self.state.borrow().has_ended
    }

    /// Returns how long it has carried no call; nothing while it does.
    pub fn idle_time(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let is_idle = state.pending.is_empty() && !state.is_closing && !state.has_ended;
        is_idle.then(|| self.idle_since.get().elapsed())
    }

    /// Takes no new calls, and closes when the last one has ended.
    pub fn close(&self) {
        self.state.borrow_mut().is_closing = true;
        self.wake.notify_one();
    }

    /// Returns how many calls it carries, if it can take one more. A connection with an overdue
    /// answer takes none.
    pub(super) fn load(&self, max_calls: usize, now: Instant) -> Option<usize> {
        let state = self.state.borrow();
        let has_room = !state.is_closing && !state.has_ended && state.pending.len() < max_calls;
        let is_prompt = has_room && state.pending.values().all(|call| now < call.expires_at);
        is_prompt.then(|| state.pending.len())
    }

    /// Queues a call to be written.
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
        let text = call.to_text(id, expires_at, budget);
        state
            .queue
            .push_back(Frame::new(id, call.transport.framing, &text));
        control.hand_over(None);
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

    /// Gives up a call that nobody waits for any more.
    fn abandon(&self, id: u64) {
        let state = &mut *self.state.borrow_mut();
        let Some(call) = state.pending.remove(&id) else {
            return;
        };
        self.idle_since.set(Instant::now());
        if call.control.written() == Written::None {
            state.queue.retain(|frame| frame.id != id);
            return;
        }
        // Its answer may come yet, or the connection be of no use: it carries what it has, and
        // takes no new call. Alone on the connection, a text that nobody waits for is not written
        // to its end.
        state.abandoned.insert(id);
        state.is_closing = true;
        self.wake.notify_one();
    }

    /// Returns what is to be written next. Where no text is begun, the next one is, unless the
    /// backend drains.
    pub(super) fn next_bytes(&self, is_drained: bool) -> Option<Bytes> {
        let state = &mut *self.state.borrow_mut();
        if state.writing.is_none() && is_drained {
            for frame in std::mem::take(&mut state.queue) {
                self.end_call(state, frame.id, CallEnd::Drained);
            }
        }
        if state.writing.is_none() {
            state.writing = state.queue.pop_front();
        }
        state.writing.as_ref().map(|frame| frame.remaining.clone())
    }

    /// Records that so many bytes were written.
    pub(super) fn record_written(&self, bytes: usize) {
        let state = &mut *self.state.borrow_mut();
        let Some(frame) = &mut state.writing else {
            return;
        };
        frame.remaining.advance(bytes);
        let is_whole = frame.remaining.len() <= frame.terminator_length;
        let (id, is_done) = (frame.id, frame.remaining.is_empty());
        if let Some(call) = state.pending.get(&id) {
            call.control.set_written(if is_whole {
                Written::Complete
            } else {
                Written::Partial
            });
        }
        if is_whole && state.is_notification(id) {
            self.end_call(state, id, CallEnd::NotificationSent);
        }
        if is_done {
            state.writing = None;
        }
    }

    fn end_call(&self, state: &mut State, id: u64, end: CallEnd) {
        if let Some(call) = state.pending.remove(&id) {
            self.idle_since.set(Instant::now());
            // The receiver may be gone just now.
            let _ = call.end.send(end);
        }
    }

    /// Takes a text of the backend's; returns false where nothing more on this connection can be
    /// trusted.
    pub(super) fn take_text(&self, text: &Bytes, framing: Framing) -> bool {
        match message::reply(text) {
            Reply::Answer(answer) => self.take_answer(answer),
            Reply::Call(None) => true,
            Reply::Call(Some(id)) => self.reject_backend_call(&id, framing),
            Reply::Wrong(_) => false,
        }
    }

    fn take_answer(&self, answer: Answer) -> bool {
        let state = &mut *self.state.borrow_mut();
        let id = std::str::from_utf8(&answer.id)
            .ok()
            .and_then(|id| id.parse().ok());
        let Some(id) = id else { return false };
        // Nobody can have an answer to what was not written whole.
        if state.is_written_whole(id) && !state.is_notification(id) {
            self.end_call(state, id, CallEnd::Answered(answer));
            return true;
        }
        // A late answer is nobody's. One to what was never asked, or a second one, shows that ids
        // are mixed up, and then it is not known whose the other answers are.
        state.abandoned.remove(&id)
    }

    /// Rejects a call of the backend's, which is no client here.
    fn reject_backend_call(&self, id: &Bytes, framing: Framing) -> bool {
        let state = &mut *self.state.borrow_mut();
        let error = write::error(METHOD_NOT_FOUND, "no calls are taken here", None);
        let mut text = BytesMut::new();
        write::answer(id, &error, &mut text);
        state.queue.push_back(Frame::new(NO_CALL, framing, &text));
        state.backend_calls += 1;
        state.backend_calls <= MAX_BACKEND_CALLS
    }

    /// Returns whether its last call has ended and it takes no new one.
    pub(super) fn is_finished(&self) -> bool {
        let state = self.state.borrow();
        state.is_closing && state.pending.is_empty()
    }

    /// Ends all its calls.
    pub(super) fn end(&self) {
        let state = &mut *self.state.borrow_mut();
        state.has_ended = true;
        state.queue.clear();
        for (_, call) in state.pending.drain() {
            // The receiver may be gone just now.
            let _ = call
                .end
                .send(CallEnd::ConnectionLost(call.control.written()));
        }
    }
}

impl Call {
    /// Returns its text under an id.
    fn to_text(&self, id: u64, expires_at: Instant, budget: Option<&AttemptBudget>) -> BytesMut {
        let id = (!self.is_notification).then_some(id);
        let mut text = BytesMut::new();
        write::call(id, &self.method, self.params.as_deref(), &mut text);
        if let Some(budget) = budget {
            let remaining_time = expires_at.saturating_duration_since(Instant::now());
            let (budget, path) = budget.header_values(remaining_time);
            write::carry(&mut text, &budget, path);
        }
        text
    }
}
