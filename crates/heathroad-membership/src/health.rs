//! A proxy's doubt of itself (Lifeguard's local health multiplier): who is slow, or hears little,
//! asks more slowly and waits for longer before it accuses anybody.

/// Most doubt: everything then takes nine times as long.
pub const MOST: u8 = 8;

/// The doubt, from none to [`MOST`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health(u8);

impl Health {
    /// So many signs that the fault lies here.
    pub fn worse(&mut self, signs: u8) {
        self.0 = self.0.saturating_add(signs).min(MOST);
    }

    /// A sign that all is well here.
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// By how much periods and waits are longer.
    pub fn factor(self) -> u64 {
        u64::from(self.0) + 1
    }
}
