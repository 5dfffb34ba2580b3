//! Load that one peer has published. A fact that is received again unchanged does not renew its age.

use crate::wire::{CellLoad, LoadSummary, PAGES, decode_page, decode_summary};
use basaltward_membership::{Micros, SHED_KEYS};

/// Decoded fact with its encoded value and the time at which this value was first received.
#[derive(Clone, Debug)]
struct Received<T> {
    at: Micros,
    value: Vec<u8>,
    content: T,
}

type Page = Vec<(usize, CellLoad)>;

/// Published load of one peer.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    summary: Option<Received<LoadSummary>>,
    pages: [Option<Received<Page>>; PAGES],
}

/// Stores a value that differs from the stored one, unless it cannot be decoded.
fn store_if_changed<T>(
    slot: &mut Option<Received<T>>,
    now: Micros,
    value: &[u8],
    decode: impl FnOnce(&[u8]) -> Option<T>,
) {
    let changed = slot.as_ref().is_none_or(|received| received.value != value);
    if let Some(content) = changed.then(|| decode(value)).flatten() {
        *slot = Some(Received { at: now, value: value.to_vec(), content });
    }
}

impl PeerLoad {
    /// Stores a received fact. Values that cannot be decoded and unknown keys are ignored.
    pub fn receive_fact(&mut self, now: Micros, key: u8, value: &[u8], cells: usize) {
        if key == SHED_KEYS.start {
            store_if_changed(&mut self.summary, now, value, decode_summary);
        } else if let Some(page) = key.checked_sub(SHED_KEYS.start + 1)
            && let Some(slot) = self.pages.get_mut(usize::from(page))
        {
            store_if_changed(slot, now, value, |value| decode_page(value, cells));
        }
    }

    /// Load summary of the peer, if it is younger than `max_age` and of the same settings.
    pub fn summary(&self, now: Micros, max_age: Micros, settings_hash: u16) -> Option<&LoadSummary> {
        let received = self.summary.as_ref()?;
        (now.saturating_sub(received.at) < max_age && received.content.settings_hash == settings_hash)
            .then_some(&received.content)
    }

    /// Load of the peer by cell, from pages younger than `max_age`. If two pages list a cell, the later one counts.
    pub fn cell_loads(&self, now: Micros, max_age: Micros, cells: usize) -> Vec<CellLoad> {
        let mut loads = vec![CellLoad::default(); cells];
        let mut pages: Vec<_> = self.pages.iter().flatten().collect();
        pages.sort_by_key(|page| page.at);
        for page in pages.into_iter().filter(|page| now.saturating_sub(page.at) < max_age) {
            page.content.iter().for_each(|(cell, load)| loads[*cell] = *load);
        }
        loads
    }
}
