//! Random histories of a registry: after each update, the view that a follower has reported is compared with the
//! registry's contents at that revision.
use basaltward_fakes::{HistoryError, KvStore};
use basaltward_kv::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
const PREFIX: &[u8] = b"/w/";

type Values = BTreeMap<Vec<u8>, Vec<u8>>;

/// A store, a follower of it and the connection between them.
struct Run {
    rng: StdRng,
    store: KvStore,
    /// Backups that the store can be restored from.
    backups: Vec<KvStore>,
    /// Contents of the store at each revision of each cluster.
    expected_views: BTreeMap<(u64, i64), Values>,
    clusters: u64,
    follower: Follower,
    now: Micros,
    /// The request on the connection that has no response yet.
    pending_request: Option<Request>,
    /// The next revision that the open watch delivers.
    next_watch_revision: Option<i64>,
    /// Added to the revision of each watch request, to simulate a client that resumes at a wrong revision.
    revision_offset: i64,
    /// The view that results from the reported updates.
    reported: Option<Values>,
    /// Description of the first mismatch.
    mismatch: Option<String>,
}

fn settings() -> FollowerSettings {
    FollowerSettings { page_size: 3, silence_timeout: 2 * SECOND, ..FollowerSettings::default() }
}

impl Run {
    fn new(seed: u64, revision_offset: i64) -> Self {
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            store: KvStore::new(1),
            backups: Vec::new(),
            expected_views: BTreeMap::new(),
            clusters: 1,
            follower: Follower::new(PREFIX.to_vec(), settings(), seed),
            now: 0,
            pending_request: None,
            next_watch_revision: None,
            revision_offset,
            reported: None,
            mismatch: None,
        };
        run.record_view();
        run
    }

    /// Records the contents of the store at its current revision.
    fn record_view(&mut self) {
        let view = self.store.snapshot_at(self.store.revision()).expect("the current revision");
        let values = view.into_iter().map(|(k, (v, _))| (k, v)).collect();
        self.expected_views.insert((self.store.cluster_id, self.store.revision()), values);
    }

    fn header(&self) -> Header {
        Header { cluster: self.store.cluster_id, revision: self.store.revision() }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(Request::Close) => {
                    (self.pending_request, self.next_watch_revision) = (None, None)
                }
                Action::Send(request) => {
                    (self.pending_request, self.next_watch_revision) = (Some(request), None)
                }
                Action::Apply(header, update) => self.compare(header, update),
            }
        }
    }

    /// Applies an update and compares the result with the contents of the store at its revision.
    fn compare(&mut self, header: Header, update: Update) {
        let view = self.reported.get_or_insert_default();
        match update {
            Update::Snapshot(all) => *view = all.into_iter().map(|(k, kv)| (k, kv.value)).collect(),
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(kv) => view.insert(kv.key, kv.value),
                        Change::Delete(key, _) => view.remove(&key),
                    };
                }
            }
        }
        let expected = self.expected_views.get(&(header.cluster, header.revision));
        if expected != Some(view) {
            self.mismatch.get_or_insert(format!("at {header:?}: reported {view:?}, expected {expected:?}"));
        }
    }

    /// Passes a response to the follower.
    fn respond(&mut self, response: Response) {
        let mut out = Vec::new();
        self.follower.handle(self.now, response, &mut out);
        self.execute(out);
    }

    /// Responds to the pending request; without one, delivers changes on the open watch.
    fn serve(&mut self) {
        let header = self.header();
        match self.pending_request.take() {
            Some(Request::Range { from, revision, limit }) => {
                let at = if revision == 0 { self.store.revision() } else { revision };
                match self.store.snapshot_at(at) {
                    Err(HistoryError::Compacted(oldest)) => self.respond(Response::Compacted(oldest)),
                    Err(HistoryError::Future) => self.respond(Response::Failed),
                    Ok(view) => {
                        let all = view.into_iter().filter(|(key, _)| *key >= from && key.starts_with(PREFIX));
                        let all: Vec<_> = all
                            .map(|(key, (value, mod_revision))| KeyValue { key, value, mod_revision })
                            .collect();
                        let more = all.len() > limit as usize;
                        let kvs = all.into_iter().take(limit as usize).collect();
                        self.respond(Response::Range { header, kvs, more });
                    }
                }
            }
            Some(Request::Watch { revision }) => {
                let revision = revision + self.revision_offset;
                match self.store.changes_since(revision).map(drop) {
                    Err(HistoryError::Compacted(oldest)) => self.respond(Response::Compacted(oldest)),
                    _ => {
                        self.next_watch_revision = Some(revision);
                        self.respond(Response::WatchCreated(header));
                    }
                }
            }
            Some(Request::Close) | None => self.deliver_changes(),
        }
    }

    /// Delivers some of the transactions that the watch has not delivered, sometimes in fragments.
    fn deliver_changes(&mut self) {
        let Some(from) = self.next_watch_revision else { return };
        let most = self.rng.random_range(1..4);
        let Ok(since) = self.store.changes_since(from) else { return self.respond(Response::Compacted(0)) };
        let steps: Vec<_> = since.take(most).map(|(at, changes)| (at, changes.clone())).collect();
        let header = self.header();
        let Some(last) = steps.last().map(|(at, _)| *at) else {
            return self.respond(Response::Progress(header));
        };
        let change = |at: i64, (key, value): (Vec<u8>, Option<Vec<u8>>)| match value {
            Some(value) => Change::Put(KeyValue { key, value, mod_revision: at }),
            None => Change::Delete(key, at),
        };
        let all = steps.into_iter().flat_map(|(at, cs)| cs.into_iter().map(move |c| change(at, c)));
        let mut all: Vec<_> = all.collect();
        self.next_watch_revision = Some(last + 1);
        while all.len() > 1 && self.rng.random_bool(0.4) {
            let rest = all.split_off(self.rng.random_range(1..all.len()));
            let part = std::mem::replace(&mut all, rest);
            self.respond(Response::Changes { header, changes: part, fragment: true });
            if self.rng.random_bool(0.1) {
                return self.disconnect();
            }
        }
        self.respond(Response::Changes { header, changes: all, fragment: false });
    }

    fn disconnect(&mut self) {
        (self.pending_request, self.next_watch_revision) = (None, None);
        self.respond(Response::Failed);
    }

    fn write_changes(&mut self) {
        let count = self.rng.random_range(1..4);
        let changes = (0..count).map(|_| {
            let key = format!("/w/{}", self.rng.random_range(0..12));
            let value = self.rng.random_range(0..1_000).to_string();
            (key.into_bytes(), self.rng.random_bool(0.7).then(|| value.into_bytes()))
        });
        let changes = changes.collect();
        self.store.write(changes);
        self.record_view();
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..200_000);
        match self.rng.random_range(0..100) {
            0..35 => self.write_changes(),
            35..80 => self.serve(),
            80..88 => self.disconnect(),
            88..93 => {
                let revision = self.rng.random_range(1..=self.store.revision());
                self.store.compact(revision);
            }
            // A stall: nothing arrives until the follower considers the connection half-open.
            93..95 => self.now += 3 * SECOND,
            95..97 => self.backups.push(self.store.clone()),
            97..98 if !self.backups.is_empty() => {
                let index = self.rng.random_range(0..self.backups.len());
                self.clusters += 1;
                self.store = self.backups[index].restored(self.clusters);
                self.record_view();
                self.disconnect();
            }
            _ => {}
        }
        self.wake();
    }

    fn wake(&mut self) {
        let mut out = Vec::new();
        self.follower.wake(self.now, &mut out);
        self.execute(out);
    }

    /// Lets the follower catch up without faults and compares its view with the contents of the store.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.now += 100_000;
            self.wake();
            self.serve();
        }
        let expected = &self.expected_views[&(self.store.cluster_id, self.store.revision())];
        let view: Values = self.follower.view().iter().map(|(k, kv)| (k.clone(), kv.value.clone())).collect();
        if view != *expected || self.reported.as_ref() != Some(expected) {
            self.mismatch.get_or_insert(format!("after settling: {view:?}, expected {expected:?}"));
        }
    }
}

/// Runs a random history and returns the first mismatch.
fn run_history(seed: u64, revision_offset: i64) -> Option<String> {
    let mut run = Run::new(seed, revision_offset);
    for _ in 0..300 {
        run.step();
    }
    run.settle();
    run.mismatch
}

#[test]
fn updates_match_the_registry_in_two_thousand_random_histories() {
    for seed in 0..2_000 {
        if let Some(mismatch) = run_history(seed, 0) {
            panic!("seed {seed}: {mismatch}");
        }
    }
}

#[test]
fn a_client_that_resumes_one_revision_late_is_detected() {
    let detected = (0..50).filter(|seed| run_history(*seed, 1).is_some()).count();
    assert!(detected > 40, "detected in {detected} of 50 histories");
}

#[test]
fn a_watch_that_starts_one_revision_early_repeats_no_change() {
    // An early start is harmless: the follower drops changes that its view already contains.
    assert!((0..50).all(|seed| run_history(seed, -1).is_none()));
}
