//! Requests that come round again. Those that carry their path are found by it; where what lies
//! between strips unknown headers, by what is still held here when the same comes from inside.

use crate::wire::Path;
use std::collections::HashMap;

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// It goes on, with this path.
    On(Path),
    /// It has been here before, more often than a route allows.
    Loop,
    /// It has passed as many proxies as it may.
    TooFar,
}

/// Looks at a request that enters the proxy `own`, which may come back so many times by its routes.
pub fn enter(path: &Path, own: &str, reentries: usize, hops: u8) -> Way {
    if path.names().iter().filter(|n| *n == own).count() > reentries {
        return Way::Loop;
    }
    match path.with(own).filter(|_| hops > 0) {
        Some(path) => Way::On(path),
        None => Way::TooFar,
    }
}

/// What tells one request from others where it carries no path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Mark {
    /// Its key; 0 is none, and then it is not looked at.
    pub key: u64,
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
}

/// The requests that are held, by mark. Callers outside may repeat what is held, since they time
/// out and try again; one that comes from inside while the same is held has been sent by what it
/// waits for.
#[derive(Debug, Default)]
pub struct Held {
    held: HashMap<Mark, usize>,
}

/// Most requests that are looked after; past that, further ones are not, and a loop ends by its
/// hops or its time.
const MOST: usize = 100_000;

impl Held {
    /// A request enters; false if it is the same come round again, more often than a route allows.
    /// One that may go on is to be let go by [`Held::leave`].
    pub fn enter(&mut self, mark: Mark, inner: bool, reentries: usize) -> bool {
        if mark.key == 0 {
            return true;
        }
        let known = self.held.get(&mark).copied().unwrap_or(0);
        if inner && known > reentries {
            return false;
        }
        if known > 0 || self.held.len() < MOST {
            self.held.insert(mark, known + 1);
        }
        true
    }

    /// A request that entered is over.
    pub fn leave(&mut self, mark: Mark) {
        if let Some(count) = self.held.get_mut(&mark) {
            *count -= 1;
            if *count == 0 {
                self.held.remove(&mark);
            }
        }
    }

    /// How many marks are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
