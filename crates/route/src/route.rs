//! The control thread's part: what is counted here and told by other sites, and the table that follows from it.

use crate::settings::{RouteError, RouteSettings};
use crate::types::{Counts, Handed, Row, Table};
use basaltward_fleet::{Micros, Number};

/// Bytes of a frame at most.
const FRAME: usize = 65_536;

/// Works out where calls go.
#[derive(Debug)]
pub struct Route {
    settings: RouteSettings,
    number: u64,
    due: Micros,
}

impl Route {
    /// One gateway's, that knows nothing of other sites yet: all is answered here.
    pub fn new(settings: RouteSettings, now: Micros) -> Result<Self, RouteError> {
        settings.check()?;
        Ok(Self { due: now + settings.every, settings, number: 0 })
    }

    /// What a loop counted.
    pub fn counted(&mut self, _now: Micros, _loop_no: u16, _counts: &Counts) {}

    /// How a call ended that a loop handed over.
    pub fn handed(&mut self, _now: Micros, _handed: &Handed) {}

    /// A frame of a fellow.
    pub fn frame(&mut self, _now: Micros, from: Number, bytes: &[u8]) -> Result<(), RouteError> {
        if self.settings.places.site(from).is_none() {
            return Err(RouteError::Stranger(from));
        }
        if bytes.len() > FRAME {
            return Err(RouteError::TooLong { from, bytes: bytes.len() });
        }
        Ok(())
    }

    /// Time there and back to a fellow, as just measured.
    pub fn link(&mut self, _now: Micros, _to: Number, _rtt: Micros) {}

    /// Which fellows the view holds for living, by number.
    pub fn live(&mut self, _live: &[bool]) {}

    /// Frames that are due, each with who gets it.
    pub fn tell(&mut self, now: Micros) -> Vec<(Number, Vec<u8>)> {
        self.due = now + self.settings.every;
        Vec::new()
    }

    /// Where calls go as of now.
    pub fn table(&mut self, now: Micros) -> Table {
        self.number += 1;
        let here = self.settings.places.here();
        let rows = vec![Row { home: here, ..Row::default() }; self.settings.functions.len()];
        Table { number: self.number, until: now + self.settings.hold, here, rows }
    }

    /// When [`Route::tell`] and [`Route::table`] are due next.
    pub fn next_due(&self) -> Micros {
        self.due
    }
}
