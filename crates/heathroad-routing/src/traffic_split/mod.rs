//! Weighted traffic splits that are stable by key.
//!
//! The pool of a key is chosen by weighted rendezvous hashing (Thaler and Ravishankar 1998, with
//! weights by the logarithmic method). When the weight of a pool grows, keys move only to that
//! pool; when it shrinks, keys move only away from it.

#[cfg(test)]
mod tests;

/// A pool and the weight of its part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// The index of the pool in the configuration.
    pub pool: usize,
    /// The weight relative to those of the other pools; 0 excludes the pool.
    pub weight: f64,
}

/// The number of bits of a hash that become a random number.
const RANDOM_BITS: u32 = 53;

/// Selects the pool of a key. Returns `None` where all weights are 0.
///
/// The hash takes the pools' names, so that their order in a file does not decide.
pub fn select_pool<'a>(
    destinations: &'a [WeightedPool],
    pool_names: &[String],
    key: u64,
) -> Option<&'a WeightedPool> {
    if let [only] = destinations {
        return Some(only).filter(|d| d.weight > 0.0);
    }
    let cost = |destination: &WeightedPool| {
        let name = pool_names.get(destination.pool).map_or("", String::as_str);
        let hash = mix(stable_hash(name.as_bytes()) ^ key);
        // The random number is above 0 and at most 1.
        let random =
            ((hash >> (u64::BITS - RANDOM_BITS)) as f64 + 1.0) / (1u64 << RANDOM_BITS) as f64;
        -random.ln() / destination.weight
    };
    let candidates = destinations.iter().filter(|d| d.weight > 0.0);
    candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Hashes bytes with FNV-1a. All builds on all machines give the same hash, because several proxies
/// share a split.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Applies the finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
