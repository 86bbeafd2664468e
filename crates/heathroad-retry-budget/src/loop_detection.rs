//! Detection of requests that come round again. A request that carries its path is found by it.
//! Where something between the proxies strips unknown headers, it is found by an identical request
//! that is still open.

use crate::wire::ProxyPath;
use std::collections::HashMap;

/// Most fingerprints that are tracked. Further requests are not, and a loop of those ends by its
/// hops or its deadline.
const MAX_FINGERPRINTS: usize = 100_000;

/// The reason why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Rejection {
    /// The request has passed this proxy more often than its routes allow.
    #[error("the request has passed this proxy before")]
    Loop,
    /// The request has passed as many proxies as it may.
    #[error("the request has passed as many proxies as it may")]
    TooManyHops,
}

/// Returns the path of a request with the name of the proxy that it enters. Its routes may bring it
/// back `reentries` times.
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

/// What distinguishes a request from others where it carries no path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint {
    /// Hash of its key; 0 means that it has none and is not tracked.
    pub key: u64,
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
}

/// The number of open requests of each fingerprint.
///
/// Clients outside the chain may repeat an open request, since they time out and retry. One that
/// comes from a trusted peer while an identical one is open was sent by the service that the open
/// one waits for.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    counts: HashMap<RequestFingerprint, usize>,
}

impl InFlightRequests {
    /// Records a request, or returns false if it is an identical one come round more often than its
    /// routes allow. A recorded request is later given to [`InFlightRequests::remove`].
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

    /// Removes a recorded request that has ended.
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

    /// Returns whether no fingerprint is tracked.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
