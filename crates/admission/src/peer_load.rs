//! What one peer has told of its load. A fact that is heard again unchanged is no news: it ages all the same.

use crate::wire::{Head, Load, PAGES, read_head, read_page};
use basaltward_membership::{Micros, SHED_KEYS};

#[derive(Clone, Debug)]
struct Told<T> {
    at: Micros,
    value: Vec<u8>,
    says: T,
}

type Page = Vec<(usize, Load)>;

/// What one peer has told.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    head: Option<Told<Head>>,
    pages: [Option<Told<Page>>; PAGES],
}

fn take<T>(place: &mut Option<Told<T>>, now: Micros, value: &[u8], read: impl FnOnce(&[u8]) -> Option<T>) {
    let news = place.as_ref().is_none_or(|told| told.value != value);
    if let Some(says) = news.then(|| read(value)).flatten() {
        *place = Some(Told { at: now, value: value.to_vec(), says });
    }
}

impl Peer {
    /// Takes a fact; what can't be read changes nothing.
    pub fn take(&mut self, now: Micros, key: u8, value: &[u8], cells: usize) {
        if key == SHED_KEYS.start {
            take(&mut self.head, now, value, read_head);
        } else if let Some(page) = key.checked_sub(SHED_KEYS.start + 1)
            && let Some(place) = self.pages.get_mut(usize::from(page))
        {
            take(place, now, value, |value| read_page(value, cells));
        }
    }

    /// Its head, where that is younger than `within` and of settings like ours.
    pub fn head(&self, now: Micros, within: Micros, mark: u16) -> Option<&Head> {
        let told = self.head.as_ref()?;
        (now.saturating_sub(told.at) < within && told.says.mark == mark).then_some(&told.says)
    }

    /// What comes to it, by pair; of a pair on two pages the later page counts.
    pub fn loads(&self, now: Micros, within: Micros, cells: usize) -> Vec<Load> {
        let mut loads = vec![Load::default(); cells];
        let mut pages: Vec<_> = self.pages.iter().flatten().collect();
        pages.sort_by_key(|page| page.at);
        for page in pages.into_iter().filter(|page| now.saturating_sub(page.at) < within) {
            page.says.iter().for_each(|(cell, load)| loads[*cell] = *load);
        }
        loads
    }
}
