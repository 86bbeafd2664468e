//! Ids of delegations.

/// Generator of ids that nobody guesses by chance (SplitMix64: Steele, Lea and Flood 2014). They are names and no secrets.
#[derive(Debug)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    /// Returns the generator of a seed.
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// Returns the next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}
