//! Generation of delegation ids.

/// The SplitMix64 generator (Steele, Lea and Flood 2014). Its ids are unlikely to collide, but are
/// not secret.
#[derive(Debug)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    /// Returns a generator with the given seed.
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
