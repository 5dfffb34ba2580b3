//! The state machine that decides the next request and maintains the view of the prefix.

use crate::backoff::{Backoff, BackoffSettings};
use crate::types::{Action, Change, Header, KeyValue, Micros, Request, Response, Update};
use std::collections::BTreeMap;

/// Settings of a [`Follower`]; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// Maximum number of keys per page.
    pub page_size: i64,
    /// A connection that delivers nothing for this long is considered half-open and closed. Must be longer than the
    /// registry's interval between progress notifications.
    pub silence_timeout: Micros,
    /// Maximum number of changes buffered until the last fragment of an update; beyond it the prefix is read again.
    pub max_buffered_changes: usize,
    /// Delays between attempts.
    pub backoff: BackoffSettings,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            page_size: 500,
            silence_timeout: 15_000_000,
            max_buffered_changes: 100_000,
            backoff: BackoffSettings::default(),
        }
    }
}

type View = BTreeMap<Vec<u8>, KeyValue>;

enum State {
    /// Sends the next request at this time.
    BackingOff(Micros),
    /// Reads the prefix page by page. `snapshot` is the header of the first page: all pages are read at its revision.
    Reading { snapshot: Option<Header>, pages: View },
    /// A watch was requested and not yet created.
    CreatingWatch,
    /// The watch is open; `buffered` holds the changes of an update whose last fragment has not arrived.
    Watching { buffered: Vec<Change> },
}

/// Follows the keys with one prefix.
pub struct Follower {
    settings: FollowerSettings,
    prefix: Vec<u8>,
    state: State,
    /// The last reported view.
    view: View,
    /// Cluster and revision that `view` corresponds to; a progress notification advances the revision.
    position: Option<Header>,
    /// Changes after `position` are not available, so the prefix must be read completely.
    needs_full_read: bool,
    /// Time of the last input, or of the request sent after a backoff or a full read.
    last_activity: Micros,
    backoff: Backoff,
}

impl Follower {
    /// Creates a follower with an empty view. It sends its first request at the first [`Follower::wake`].
    pub fn new(prefix: Vec<u8>, settings: FollowerSettings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.backoff, seed);
        Self {
            settings,
            prefix,
            state: State::BackingOff(0),
            view: View::new(),
            position: None,
            needs_full_read: true,
            last_activity: 0,
            backoff,
        }
    }

    /// The last reported view.
    pub fn view(&self) -> &BTreeMap<Vec<u8>, KeyValue> {
        &self.view
    }

    /// Cluster and revision of that view; `None` before the first one.
    pub fn position(&self) -> Option<Header> {
        self.position
    }

    /// When [`Follower::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        match self.state {
            State::BackingOff(until) => until,
            _ => self.last_activity + self.settings.silence_timeout,
        }
    }

    /// Sends the next request or closes a silent connection, if that is due by `now`; appends the resulting actions.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        match self.state {
            State::BackingOff(until) if until <= now => self.send_next_request(now, out),
            State::BackingOff(_) => {}
            _ if self.last_activity + self.settings.silence_timeout <= now => {
                // Half-open connection: not even a progress notification has arrived.
                out.push(Action::Send(Request::Close));
                self.back_off(now);
            }
            _ => {}
        }
    }

    fn back_off(&mut self, now: Micros) {
        self.state = State::BackingOff(now + self.backoff.next_delay());
    }

    /// Requests the changes after the current position, or the first page of the prefix.
    fn send_next_request(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.last_activity = now;
        match self.position.filter(|_| !self.needs_full_read) {
            Some(position) => {
                self.state = State::CreatingWatch;
                out.push(Action::Send(Request::Watch { revision: position.revision + 1 }));
            }
            None => {
                self.state = State::Reading { snapshot: None, pages: View::new() };
                let (from, limit) = (self.prefix.clone(), self.settings.page_size);
                out.push(Action::Send(Request::Range { from, revision: 0, limit }));
            }
        }
    }

    /// Closes the connection and reads the prefix completely, without a delay.
    fn restart_with_full_read(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.needs_full_read = true;
        out.push(Action::Send(Request::Close));
        self.send_next_request(now, out);
    }

    /// Whether this header comes from another registry than the view: from another cluster, or from one whose revision
    /// has decreased, as after a restore from a backup.
    fn is_other_registry(&self, header: Header) -> bool {
        self.position
            .is_some_and(|position| header.cluster != position.cluster || header.revision < position.revision)
    }

    /// Handles a response received at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, response: Response, out: &mut Vec<Action>) {
        if matches!(self.state, State::BackingOff(_)) {
            // A late response from an abandoned connection.
            return;
        }
        self.last_activity = now;
        match response {
            Response::Failed => self.back_off(now),
            Response::Compacted(_) => {
                // A watch has lost the changes after its position, a page the snapshot that it belongs to.
                self.needs_full_read = true;
                out.push(Action::Send(Request::Close));
                self.back_off(now);
            }
            Response::Range { header, kvs, more } => self.handle_page(now, header, kvs, more, out),
            Response::WatchCreated(header) | Response::Progress(header) if self.is_other_registry(header) => {
                self.restart_with_full_read(now, out);
            }
            Response::Changes { header, .. } if self.is_other_registry(header) => {
                self.restart_with_full_read(now, out);
            }
            Response::WatchCreated(_) => {
                if matches!(self.state, State::CreatingWatch) {
                    self.backoff.reset();
                    self.state = State::Watching { buffered: Vec::new() };
                }
            }
            Response::Progress(header) => self.handle_progress(header),
            Response::Changes { changes, fragment, .. } => self.handle_changes(now, changes, fragment, out),
        }
    }

    fn handle_page(
        &mut self,
        now: Micros,
        header: Header,
        kvs: Vec<KeyValue>,
        more: bool,
        out: &mut Vec<Action>,
    ) {
        let State::Reading { snapshot, pages } = &mut self.state else { return };
        let snapshot = *snapshot.get_or_insert(header);
        if header.cluster != snapshot.cluster || header.revision < snapshot.revision {
            // Another registry has responded to the request for a later page.
            return self.restart_with_full_read(now, out);
        }
        let last_key = kvs.last().map(|kv| kv.key.clone());
        pages.extend(kvs.into_iter().map(|kv| (kv.key.clone(), kv)));
        if let (true, Some(mut from)) = (more, last_key) {
            // The smallest key after the last one.
            from.push(0);
            let (revision, limit) = (snapshot.revision, self.settings.page_size);
            return out.push(Action::Send(Request::Range { from, revision, limit }));
        }
        let pages = std::mem::take(pages);
        self.apply_full_read(snapshot, pages, out);
        self.send_next_request(now, out);
    }

    /// Replaces the view by one that was read completely. Reports the first one as a snapshot, and later ones as their
    /// differences to the view before.
    fn apply_full_read(&mut self, header: Header, view: View, out: &mut Vec<Action>) {
        let is_first = self.position.is_none();
        let before = std::mem::replace(&mut self.view, view);
        self.position = Some(header);
        self.needs_full_read = false;
        self.backoff.reset();
        if is_first {
            return out.push(Action::Apply(header, Update::Snapshot(self.view.clone())));
        }
        let deleted = before.keys().filter(|key| !self.view.contains_key(*key));
        let mut changes: Vec<_> = deleted.map(|key| Change::Delete(key.clone(), header.revision)).collect();
        let differs = |kv: &&KeyValue| before.get(&kv.key).is_none_or(|old| old.value != kv.value);
        changes.extend(self.view.values().filter(differs).map(|kv| Change::Put(kv.clone())));
        if !changes.is_empty() {
            out.push(Action::Apply(header, Update::Changes(changes)));
        }
    }

    /// Advances the position without changes: the next watch can start at a later revision, which is less likely to be
    /// compacted.
    fn handle_progress(&mut self, header: Header) {
        let is_complete = matches!(&self.state, State::Watching { buffered } if buffered.is_empty());
        let position = self.position.as_mut();
        if let Some(position) = position.filter(|at| is_complete && header.revision > at.revision) {
            position.revision = header.revision;
        }
    }

    fn handle_changes(&mut self, now: Micros, changes: Vec<Change>, fragment: bool, out: &mut Vec<Action>) {
        let (State::Watching { buffered }, Some(position)) = (&mut self.state, &mut self.position) else {
            return;
        };
        buffered.extend(changes);
        if buffered.len() > self.settings.max_buffered_changes {
            return self.restart_with_full_read(now, out);
        }
        if fragment {
            return;
        }
        // Drops changes that the view already contains, in case the registry starts the watch at an earlier revision.
        let update = std::mem::take(buffered).into_iter().filter(|c| c.revision() > position.revision);
        let update: Vec<_> = update.collect();
        let Some(last_revision) = update.last().map(Change::revision) else { return };
        position.revision = last_revision;
        for change in &update {
            match change {
                Change::Put(kv) => self.view.insert(kv.key.clone(), kv.clone()),
                Change::Delete(key, _) => self.view.remove(key),
            };
        }
        out.push(Action::Apply(*position, Update::Changes(update)));
    }
}
