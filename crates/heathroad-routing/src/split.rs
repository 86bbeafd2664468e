//! Weighted splits, stable by key: weighted rendezvous hashing (Thaler and Ravishankar 1998,
//! weights by the logarithmic method). When a weight grows, keys move only to that pool; when it
//! shrinks, only away from it.

/// Where a share of a route's requests goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// Place of the pool in its configuration.
    pub pool: usize,
    /// Its weight beside the others'; 0 is none.
    pub weight: f64,
}

/// The share that a key falls to: by the pools' names, so that the order of a file decides nothing.
/// None where all weights are 0.
pub fn pick<'a>(shares: &'a [Share], names: &[String], key: u64) -> Option<&'a Share> {
    if let [only] = shares {
        return Some(only).filter(|s| s.weight > 0.0);
    }
    let cost = |s: &Share| {
        let name = names.get(s.pool).map_or("", String::as_str);
        // From 0 (not included) to 1.
        let drawn = ((mix(hash(name.as_bytes()) ^ key) >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        -drawn.ln() / s.weight
    };
    shares
        .iter()
        .filter(|s| s.weight > 0.0)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// FNV-1a: the same on every machine and in every build, as a split must be that several proxies
/// share.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Vec<String> {
        ["a", "b", "c"].map(String::from).to_vec()
    }

    fn shares(weights: &[f64]) -> Vec<Share> {
        weights
            .iter()
            .enumerate()
            .map(|(pool, weight)| Share {
                pool,
                weight: *weight,
            })
            .collect()
    }

    fn pool(weights: &[f64], key: u64) -> usize {
        pick(&shares(weights), &names(), mix(key))
            .expect("some weight")
            .pool
    }

    #[test]
    fn shares_follow_the_weights() {
        let n = 20_000;
        let of = |p| (0..n).filter(|k| pool(&[1.0, 3.0, 0.0], *k) == p).count() as f64 / n as f64;
        assert!((of(0) - 0.25).abs() < 0.02 && (of(1) - 0.75).abs() < 0.02);
        assert_eq!(of(2), 0.0);
    }

    #[test]
    fn a_key_stays_while_weights_change_but_for_the_moved_share() {
        for key in 0..5_000 {
            let (before, after) = (pool(&[90.0, 10.0], key), pool(&[80.0, 20.0], key));
            assert!(
                before == after || (before, after) == (0, 1),
                "only towards the pool that grew"
            );
            // Neither the scale of the weights nor a pool without any decides.
            assert_eq!(before, pool(&[9.0, 1.0, 0.0], key));
        }
    }

    #[test]
    fn nothing_is_picked_where_all_weights_are_0() {
        assert_eq!(pick(&shares(&[0.0, 0.0]), &names(), 1), None);
        assert_eq!(pick(&shares(&[0.0]), &names(), 1), None);
        assert_eq!(pick(&[], &names(), 1), None);
    }
}
