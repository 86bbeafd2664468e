//! Encodes replies: the actions of the instances in response to a frame.

use heathroad_balancer::api::Action;

/// Size of the length prefix of a reply.
const LENGTH_BYTES: usize = 4;

/// Action codes.
mod code {
    pub const SEND: u16 = 1;
    pub const REJECT: u16 = 2;
    pub const FAIL: u16 = 3;
    pub const CANCEL: u16 = 4;
    pub const SET_TIMER: u16 = 5;
    pub const CLOSE_IDLE: u16 = 7;
    pub const FATAL: u16 = 10;
    pub const WATCH_ENDPOINTS: u16 = 11;
}

/// A reply under construction; the length prefix is set by [`into_bytes`](Self::into_bytes).
pub struct Reply {
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply {
            bytes: vec![0; LENGTH_BYTES],
        }
    }
}

impl Reply {
    /// Adds a report that an instance panicked.
    pub fn push_fatal(&mut self, instance: u16, message: &str) {
        self.push_header(code::FATAL, instance);
        self.push_length_prefixed(message.as_bytes());
    }

    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        self.push_header(action_code(action), instance);
        let bytes = &mut self.bytes;
        match action {
            Action::Send {
                request,
                backend,
                deadline,
            } => {
                bytes.extend(request.to_le_bytes());
                bytes.extend(backend.to_le_bytes());
                bytes.extend(deadline.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                bytes.extend(request.to_le_bytes());
                bytes.extend(retry_after.to_le_bytes());
            }
            Action::Fail { request } => bytes.extend(request.to_le_bytes()),
            Action::Cancel { request, attempt } => {
                bytes.extend(request.to_le_bytes());
                bytes.push(*attempt);
            }
            Action::SetTimer { delay, token } => {
                bytes.extend(delay.to_le_bytes());
                bytes.extend(token.to_le_bytes());
            }
            Action::CloseIdle { backend } => bytes.extend(backend.to_le_bytes()),
            Action::WatchEndpoints { on } => bytes.push(u8::from(*on)),
        }
    }

    /// Returns the encoded reply.
    pub fn into_bytes(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes
    }

    fn push_header(&mut self, code: u16, instance: u16) {
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
    }

    /// Adds bytes with their length, truncated to the maximum length.
    fn push_length_prefixed(&mut self, bytes: &[u8]) {
        let length = bytes.len().min(usize::from(u16::MAX));
        self.bytes.extend((length as u16).to_le_bytes());
        self.bytes.extend(&bytes[..length]);
    }
}

fn action_code(action: &Action) -> u16 {
    match action {
        Action::Send { .. } => code::SEND,
        Action::Reject { .. } => code::REJECT,
        Action::Fail { .. } => code::FAIL,
        Action::Cancel { .. } => code::CANCEL,
        Action::SetTimer { .. } => code::SET_TIMER,
        Action::CloseIdle { .. } => code::CLOSE_IDLE,
        Action::WatchEndpoints { .. } => code::WATCH_ENDPOINTS,
    }
}
