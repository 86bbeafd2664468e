//! Weighted traffic splits that are stable by key.
//!
//! Pools are selected by weighted rendezvous hashing (Thaler and Ravishankar 1998, with weights by
//! the logarithmic method). When the weight of a pool increases, keys move only to that pool; when
//! it decreases, keys move only away from it.

#[cfg(test)]
mod tests;

/// A pool and its weight in a traffic split.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// The index of the pool in the configuration.
    pub pool: usize,
    /// The weight relative to the other pools; 0 excludes the pool.
    pub weight: f64,
}

/// The number of hash bits that are mapped to a random number.
const RANDOM_BITS: u32 = 53;

/// Selects the pool of a key. Returns `None` if all weights are 0.
///
/// Pools are hashed by name, so the result does not depend on their order in the configuration.
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
        // In the interval (0, 1], so that the logarithm is finite.
        let random =
            ((hash >> (u64::BITS - RANDOM_BITS)) as f64 + 1.0) / (1u64 << RANDOM_BITS) as f64;
        -random.ln() / destination.weight
    };
    let candidates = destinations.iter().filter(|d| d.weight > 0.0);
    candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Hashes bytes with FNV-1a. The hash is the same in all builds and on all machines, so that proxies
/// agree on a traffic split.
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
