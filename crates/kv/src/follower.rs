//! The state machine: what to ask next, and what is known.

use crate::backoff::{Backoff, BackoffSettings};
use crate::types::{Ask, Change, Do, Header, Heard, KeyValue, Micros, Told};
use std::collections::BTreeMap;

/// Settings of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// Keys of one page.
    pub page: i64,
    /// With nothing heard for so long the connection is taken for half-open. Longer than the registry's pace of
    /// progress notices.
    pub silence: Micros,
    /// Most changes gathered from fragments of one step; beyond it the prefix is read anew.
    pub gathered: usize,
    /// Waits between attempts.
    pub backoff: BackoffSettings,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self { page: 500, silence: 15_000_000, gathered: 100_000, backoff: BackoffSettings::default() }
    }
}

type View = BTreeMap<Vec<u8>, KeyValue>;

enum State {
    /// Waits until then to ask again.
    Resting(Micros),
    /// Reads page by page at one revision, known after the first.
    Reading { at: Option<Header>, pages: View },
    /// Asked to watch; no answer yet.
    Opening,
    /// Changes of a step that has not all come.
    Watching { gathered: Vec<Change> },
}

/// Follows one prefix.
pub struct Follower {
    settings: FollowerSettings,
    prefix: Vec<u8>,
    state: State,
    /// The view told last and the revision at which it stands.
    view: View,
    known: Option<Header>,
    /// The view can't be continued from its revision: it is to be read whole.
    reread: bool,
    heard: Micros,
    backoff: Backoff,
}

impl Follower {
    /// A follower that knows nothing; [`Follower::wake`] begins.
    pub fn new(prefix: Vec<u8>, settings: FollowerSettings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.backoff, seed);
        let (view, state) = (View::new(), State::Resting(0));
        Self { settings, prefix, state, view, known: None, reread: true, heard: 0, backoff }
    }

    /// The view told last.
    pub fn view(&self) -> &BTreeMap<Vec<u8>, KeyValue> {
        &self.view
    }

    /// Where that view stands.
    pub fn known(&self) -> Option<Header> {
        self.known
    }

    /// When [`Follower::wake`] is due.
    pub fn next_due(&self) -> Micros {
        match self.state {
            State::Resting(until) => until,
            _ => self.heard + self.settings.silence,
        }
    }

    /// Does what is due by `now`.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Do>) {
        match self.state {
            State::Resting(until) if until <= now => self.ask(now, out),
            State::Resting(_) => {}
            _ if self.heard + self.settings.silence <= now => {
                // Half-open: nothing came, not even a notice of progress.
                out.push(Do::Ask(Ask::Close));
                self.rest(now);
            }
            _ => {}
        }
    }

    fn rest(&mut self, now: Micros) {
        self.state = State::Resting(now + self.backoff.wait());
    }

    /// Asks for what comes next: changes after the known revision, or the whole prefix.
    fn ask(&mut self, now: Micros, out: &mut Vec<Do>) {
        self.heard = now;
        match self.known.filter(|_| !self.reread) {
            Some(known) => {
                self.state = State::Opening;
                out.push(Do::Ask(Ask::Watch { revision: known.revision + 1 }));
            }
            None => {
                self.state = State::Reading { at: None, pages: View::new() };
                let (from, limit) = (self.prefix.clone(), self.settings.page);
                out.push(Do::Ask(Ask::Range { from, revision: 0, limit }));
            }
        }
    }

    /// The prefix is to be read whole, at once.
    fn read_whole(&mut self, now: Micros, out: &mut Vec<Do>) {
        self.reread = true;
        out.push(Do::Ask(Ask::Close));
        self.ask(now, out);
    }

    /// Whether a registry that says this is not the one that the view is from: another cluster, or one whose
    /// revisions have run backwards, as after a restore from a backup.
    fn other(&self, header: Header) -> bool {
        self.known.is_some_and(|known| header.cluster != known.cluster || header.revision < known.revision)
    }

    /// Takes what was heard at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, heard: Heard, out: &mut Vec<Do>) {
        if matches!(self.state, State::Resting(_)) {
            // Left over from a connection that was given up.
            return;
        }
        self.heard = now;
        match heard {
            Heard::Broken => self.rest(now),
            Heard::Compacted(_) => {
                // Of a watch: what happened since can't be told step by step. Of a page: begin again.
                self.reread = true;
                out.push(Do::Ask(Ask::Close));
                self.rest(now);
            }
            Heard::Range { header, kvs, more } => self.page(now, header, kvs, more, out),
            Heard::Watching(header) | Heard::Progress(header) if self.other(header) => {
                self.read_whole(now, out);
            }
            Heard::Changes { header, .. } if self.other(header) => self.read_whole(now, out),
            Heard::Watching(_) => {
                if matches!(self.state, State::Opening) {
                    self.backoff.reset();
                    self.state = State::Watching { gathered: Vec::new() };
                }
            }
            Heard::Progress(header) => self.progress(header),
            Heard::Changes { changes, fragment, .. } => self.changes(now, changes, fragment, out),
        }
    }

    fn page(&mut self, now: Micros, header: Header, kvs: Vec<KeyValue>, more: bool, out: &mut Vec<Do>) {
        let State::Reading { at, pages } = &mut self.state else { return };
        let begun = *at.get_or_insert(header);
        if header.cluster != begun.cluster || header.revision < begun.revision {
            // Another registry answers in the middle of the read.
            return self.read_whole(now, out);
        }
        let last = kvs.last().map(|kv| kv.key.clone());
        pages.extend(kvs.into_iter().map(|kv| (kv.key.clone(), kv)));
        if let (true, Some(mut from)) = (more, last) {
            // The next possible key after the last one.
            from.push(0);
            let (revision, limit) = (begun.revision, self.settings.page);
            return out.push(Do::Ask(Ask::Range { from, revision, limit }));
        }
        let pages = std::mem::take(pages);
        self.whole(begun, pages, out);
        self.ask(now, out);
    }

    /// A whole view stands: told as such once, later as its true differences.
    fn whole(&mut self, header: Header, view: View, out: &mut Vec<Do>) {
        let first = self.known.is_none();
        let before = std::mem::replace(&mut self.view, view);
        self.known = Some(header);
        self.reread = false;
        self.backoff.reset();
        if first {
            return out.push(Do::Tell(header, Told::Whole(self.view.clone())));
        }
        let gone = before.keys().filter(|key| !self.view.contains_key(*key));
        let mut changes: Vec<_> = gone.map(|key| Change::Delete(key.clone(), header.revision)).collect();
        let differs = |kv: &&KeyValue| before.get(&kv.key).is_none_or(|old| old.value != kv.value);
        changes.extend(self.view.values().filter(differs).map(|kv| Change::Put(kv.clone())));
        if !changes.is_empty() {
            out.push(Do::Tell(header, Told::Changes(changes)));
        }
    }

    /// Nothing changed up to here: a resume may begin later, which spares it compacted revisions.
    fn progress(&mut self, header: Header) {
        let whole = matches!(&self.state, State::Watching { gathered } if gathered.is_empty());
        if let Some(known) = self.known.as_mut().filter(|known| whole && header.revision > known.revision) {
            known.revision = header.revision;
        }
    }

    fn changes(&mut self, now: Micros, changes: Vec<Change>, fragment: bool, out: &mut Vec<Do>) {
        let (State::Watching { gathered }, Some(known)) = (&mut self.state, &mut self.known) else { return };
        gathered.extend(changes);
        if gathered.len() > self.settings.gathered {
            return self.read_whole(now, out);
        }
        if fragment {
            return;
        }
        // What is known already is not told again, wherever the registry began.
        let step = std::mem::take(gathered).into_iter().filter(|c| c.revision() > known.revision);
        let step: Vec<_> = step.collect();
        let Some(last) = step.last().map(Change::revision) else { return };
        known.revision = last;
        for change in &step {
            match change {
                Change::Put(kv) => self.view.insert(kv.key.clone(), kv.clone()),
                Change::Delete(key, _) => self.view.remove(key),
            };
        }
        out.push(Do::Tell(*known, Told::Changes(step)));
    }
}
