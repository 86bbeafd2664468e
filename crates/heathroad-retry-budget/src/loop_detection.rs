//! Detection of forwarding loops. A loop is detected by the path that the request carries or, if an
//! intermediary strips unknown headers, by identical requests that are still open.

use crate::wire::ProxyPath;
use std::collections::HashMap;

/// Maximum number of tracked fingerprints. A loop of an untracked request ends at its hop limit or
/// deadline.
const MAX_FINGERPRINTS: usize = 100_000;

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Rejection {
    /// The request has passed this proxy more often than its routes allow.
    #[error("the request has passed this proxy before")]
    Loop,
    /// The request has reached its hop limit.
    #[error("the request has passed as many proxies as it may")]
    TooManyHops,
}

/// Appends a proxy's name to a request's path. The request may re-enter the proxy `reentries`
/// times.
pub fn extend_path(
    path: &ProxyPath,
    proxy_name: &str,
    reentries: usize,
    remaining_hops: u8,
) -> Result<ProxyPath, Rejection> {
    let passes = path
        .names()
        .iter()
        .filter(|name| *name == proxy_name)
        .count();
    if passes > reentries {
        return Err(Rejection::Loop);
    }
    if remaining_hops == 0 {
        return Err(Rejection::TooManyHops);
    }
    path.with(proxy_name).ok_or(Rejection::TooManyHops)
}

/// Identifies a request that carries no path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint {
    /// Hash of the idempotency key; 0 if the request has none and is not tracked.
    pub key: u64,
    /// Index of the request's class.
    pub class: u16,
    /// Index of the request's tenant.
    pub tenant: u16,
}

/// Counts the open requests with each fingerprint.
///
/// Clients outside the chain may time out and retry while the original request is still open. An
/// identical request from a trusted peer indicates a loop: it was sent by a service that the open
/// request waits for.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    counts: HashMap<RequestFingerprint, usize>,
}

impl InFlightRequests {
    /// Records a request; returns false if more identical requests are open than its routes allow.
    /// A recorded request must be removed with [`InFlightRequests::remove`].
    pub fn try_insert(
        &mut self,
        fingerprint: RequestFingerprint,
        from_trusted_peer: bool,
        reentries: usize,
    ) -> bool {
        if fingerprint.key == 0 {
            return true;
        }
        let open = self.counts.get(&fingerprint).copied().unwrap_or(0);
        if from_trusted_peer && open > reentries {
            return false;
        }
        if open > 0 || self.counts.len() < MAX_FINGERPRINTS {
            self.counts.insert(fingerprint, open + 1);
        }
        true
    }

    /// Removes a recorded request once it has completed.
    pub fn remove(&mut self, fingerprint: RequestFingerprint) {
        if let Some(count) = self.counts.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&fingerprint);
            }
        }
    }

    /// Returns the number of tracked fingerprints.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no fingerprints are tracked.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
