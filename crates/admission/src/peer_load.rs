//! What one peer has told of its load. A fact that is heard again unchanged is no news: it ages all the same.

use crate::wire::{CellLoad, LoadSummary, PAGES, decode_page, decode_summary};
use basaltward_membership::{Micros, SHED_KEYS};

#[derive(Clone, Debug)]
struct Received<T> {
    at: Micros,
    value: Vec<u8>,
    content: T,
}

type Page = Vec<(usize, CellLoad)>;

/// What one peer has told.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    head: Option<Received<LoadSummary>>,
    pages: [Option<Received<Page>>; PAGES],
}

fn take<T>(
    place: &mut Option<Received<T>>,
    now: Micros,
    value: &[u8],
    read: impl FnOnce(&[u8]) -> Option<T>,
) {
    let news = place.as_ref().is_none_or(|told| told.value != value);
    if let Some(says) = news.then(|| read(value)).flatten() {
        *place = Some(Received { at: now, value: value.to_vec(), content: says });
    }
}

impl PeerLoad {
    /// Takes a fact; what can't be read changes nothing.
    pub fn receive_fact(&mut self, now: Micros, key: u8, value: &[u8], cells: usize) {
        if key == SHED_KEYS.start {
            take(&mut self.head, now, value, decode_summary);
        } else if let Some(page) = key.checked_sub(SHED_KEYS.start + 1)
            && let Some(place) = self.pages.get_mut(usize::from(page))
        {
            take(place, now, value, |value| decode_page(value, cells));
        }
    }

    /// Its head, where that is younger than `within` and of settings like ours.
    pub fn summary(&self, now: Micros, within: Micros, mark: u16) -> Option<&LoadSummary> {
        let told = self.head.as_ref()?;
        (now.saturating_sub(told.at) < within && told.content.settings_hash == mark).then_some(&told.content)
    }

    /// What comes to it, by pair; of a pair on two pages the later page counts.
    pub fn cell_loads(&self, now: Micros, within: Micros, cells: usize) -> Vec<CellLoad> {
        let mut loads = vec![CellLoad::default(); cells];
        let mut pages: Vec<_> = self.pages.iter().flatten().collect();
        pages.sort_by_key(|page| page.at);
        for page in pages.into_iter().filter(|page| now.saturating_sub(page.at) < within) {
            page.content.iter().for_each(|(cell, load)| loads[*cell] = *load);
        }
        loads
    }
}
