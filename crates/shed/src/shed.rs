//! What the control thread of a gateway makes of all counts and facts.

use crate::settings::{ShedError, ShedSettings};
use crate::table::Table;
use crate::types::Counts;
use basaltward_fleet::{Micros, Number};

/// One gateway's part in what the fleet sheds.
pub struct Shed {
    settings: ShedSettings,
    number: u64,
    next: Micros,
}

impl Shed {
    /// Knows nothing yet: its tables take everything.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn new(now: Micros, settings: ShedSettings) -> Result<Self, ShedError> {
        settings.check()?;
        Ok(Self { settings, number: 0, next: now })
    }

    /// What a loop has counted.
    pub fn counted(&mut self, _now: Micros, _loop_no: usize, _counts: &Counts) {}

    /// A fact of a fellow, as its board gives it now; `age` is how long ago it was first heard here.
    pub fn heard(&mut self, _now: Micros, _from: Number, _key: u8, _value: &[u8]) {}

    /// Facts of ours, to be told for [`ShedSettings::stands`].
    pub fn tell(&mut self, _now: Micros) -> Vec<(u8, Vec<u8>)> {
        Vec::new()
    }

    /// The table that holds now, by who is believed to be living.
    pub fn table(&mut self, now: Micros, _live: &[bool]) -> Table {
        self.number += 1;
        self.next = now + self.settings.tell;
        Table { number: self.number, until: now + self.settings.stands / 5, ..Table::default() }
    }

    /// When [`Shed::tell`] and [`Shed::table`] are due.
    pub fn next_due(&self) -> Micros {
        self.next
    }
}
