//! The door of one loop: what is taken and what is turned away, by the whole table that the control thread made last.

use crate::settings::ShedSettings;
use crate::table::Table;
use crate::types::{Asked, Count, Counts, Ended, Verdict};
use basaltward_fleet::Micros;

/// The door of one loop.
pub struct Door {
    settings: ShedSettings,
    loop_no: usize,
    counts: Vec<Count>,
    since: Micros,
    tokens: Vec<f64>,
    at: Micros,
}

impl Door {
    /// A door that takes everything until it is given a table.
    pub fn new(now: Micros, settings: ShedSettings, loop_no: usize) -> Self {
        let cells = settings.cells();
        Self {
            settings,
            loop_no,
            counts: vec![Count::default(); cells],
            since: now,
            tokens: vec![0.0; cells],
            at: now,
        }
    }

    /// Whether a call is taken. Each call is asked for once, where it is to be worked; `key_hash` is that of its
    /// identity.
    pub fn ask(
        &mut self,
        now: Micros,
        table: Option<&Table>,
        class: usize,
        tenant: usize,
        asked: Asked,
        _key_hash: u64,
    ) -> Verdict {
        let cell = self.settings.cell(class, tenant);
        let count = &mut self.counts[cell];
        match asked {
            Asked::First => count.first += 1,
            Asked::Retry => count.retries += 1,
            Asked::HandedOver => count.handed += 1,
            Asked::Owed => return Verdict::Take,
        }
        let Some(share) = table.and_then(|table| table.share(now, self.loop_no)) else {
            return Verdict::Take;
        };
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(&share.rates) {
            *tokens = (*tokens + rate * span).min((rate * 0.1).max(1.0));
        }
        if self.tokens[cell] >= 1.0 {
            self.tokens[cell] -= 1.0;
            return Verdict::Take;
        }
        count.shed += 1;
        Verdict::Shed(1_000_000)
    }

    /// A call that was taken has ended.
    pub fn counted(&mut self, class: usize, tenant: usize, ended: Ended) {
        let cell = self.settings.cell(class, tenant);
        let count = &mut self.counts[cell];
        let (place, waited) = match ended {
            Ended::Served(waited) => (&mut count.served, waited),
            Ended::Late(waited) => (&mut count.late, waited),
            Ended::Failed(waited) => (&mut count.ended, waited),
        };
        *place += 1;
        count.waited += waited;
    }

    /// What was counted since the last time, for the control thread.
    pub fn take(&mut self, now: Micros, in_hand: u32) -> Counts {
        let span = now.saturating_sub(std::mem::replace(&mut self.since, now));
        let by = std::mem::replace(&mut self.counts, vec![Count::default(); self.settings.cells()]);
        Counts { span, by, in_hand }
    }
}
