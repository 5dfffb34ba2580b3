//! Random histories of a registry: what the follower tells is compared, step by step, with what was true.
use basaltward_fakes::{HistoryError, KvStore};
use basaltward_kv::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const PREFIX: &[u8] = b"/w/";

type Plain = BTreeMap<Vec<u8>, Vec<u8>>;

struct Run {
    rng: StdRng,
    store: KvStore,
    /// Copies to restore from, and every state that ever was, by cluster and revision.
    backups: Vec<KvStore>,
    truth: BTreeMap<(u64, i64), Plain>,
    clusters: u64,
    follower: Follower,
    now: Micros,
    /// What the connection carries: a question not yet answered, or the next revision of a watch.
    question: Option<Ask>,
    watch: Option<i64>,
    /// Added to the revision that is asked for: a wrong client.
    off: i64,
    /// The view put together from what was told.
    told: Option<Plain>,
    wrong: Option<String>,
}

fn settings() -> FollowerSettings {
    FollowerSettings { page: 3, silence: 2 * S, ..FollowerSettings::default() }
}

impl Run {
    fn new(seed: u64, off: i64) -> Self {
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            store: KvStore::new(1),
            backups: Vec::new(),
            truth: BTreeMap::new(),
            clusters: 1,
            follower: Follower::new(PREFIX.to_vec(), settings(), seed),
            now: 0,
            question: None,
            watch: None,
            off,
            told: None,
            wrong: None,
        };
        run.note();
        run
    }

    fn note(&mut self) {
        let view = self.store.snapshot_at(self.store.revision()).expect("the present");
        let plain = view.into_iter().map(|(k, (v, _))| (k, v)).collect();
        self.truth.insert((self.store.cluster_id, self.store.revision()), plain);
    }

    fn header(&self) -> Header {
        Header { cluster: self.store.cluster_id, revision: self.store.revision() }
    }

    fn done(&mut self, actions: Vec<Do>) {
        for action in actions {
            match action {
                Do::Ask(Ask::Close) => (self.question, self.watch) = (None, None),
                Do::Ask(ask) => (self.question, self.watch) = (Some(ask), None),
                Do::Tell(header, told) => self.compare(header, told),
            }
        }
    }

    /// Every step leaves exactly what was true at its revision.
    fn compare(&mut self, header: Header, told: Told) {
        let view = self.told.get_or_insert_default();
        match told {
            Told::Whole(all) => *view = all.into_iter().map(|(k, kv)| (k, kv.value)).collect(),
            Told::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(kv) => view.insert(kv.key, kv.value),
                        Change::Delete(key, _) => view.remove(&key),
                    };
                }
            }
        }
        let truth = self.truth.get(&(header.cluster, header.revision));
        if truth != Some(view) {
            self.wrong.get_or_insert(format!("at {header:?}: told {view:?}, true {truth:?}"));
        }
    }

    fn hear(&mut self, heard: Heard) {
        let mut out = Vec::new();
        self.follower.handle(self.now, heard, &mut out);
        self.done(out);
    }

    fn answer(&mut self) {
        let header = self.header();
        match self.question.take() {
            Some(Ask::Range { from, revision, limit }) => {
                let at = if revision == 0 { self.store.revision() } else { revision };
                match self.store.snapshot_at(at) {
                    Err(HistoryError::Compacted(oldest)) => self.hear(Heard::Compacted(oldest)),
                    Err(HistoryError::Future) => self.hear(Heard::Broken),
                    Ok(view) => {
                        let all = view.into_iter().filter(|(key, _)| *key >= from && key.starts_with(PREFIX));
                        let all: Vec<_> = all
                            .map(|(key, (value, mod_revision))| KeyValue { key, value, mod_revision })
                            .collect();
                        let more = all.len() > limit as usize;
                        let kvs = all.into_iter().take(limit as usize).collect();
                        self.hear(Heard::Range { header, kvs, more });
                    }
                }
            }
            Some(Ask::Watch { revision }) => {
                let revision = revision + self.off;
                match self.store.changes_since(revision).map(drop) {
                    Err(HistoryError::Compacted(oldest)) => self.hear(Heard::Compacted(oldest)),
                    _ => {
                        self.watch = Some(revision);
                        self.hear(Heard::Watching(header));
                    }
                }
            }
            Some(Ask::Close) | None => self.deliver(),
        }
    }

    /// Hands over some of the transactions that a watch has not seen, now and then in fragments.
    fn deliver(&mut self) {
        let Some(from) = self.watch else { return };
        let most = self.rng.random_range(1..4);
        let Ok(since) = self.store.changes_since(from) else { return self.hear(Heard::Compacted(0)) };
        let steps: Vec<_> = since.take(most).map(|(at, changes)| (at, changes.clone())).collect();
        let header = self.header();
        let Some(last) = steps.last().map(|(at, _)| *at) else { return self.hear(Heard::Progress(header)) };
        let change = |at: i64, (key, value): (Vec<u8>, Option<Vec<u8>>)| match value {
            Some(value) => Change::Put(KeyValue { key, value, mod_revision: at }),
            None => Change::Delete(key, at),
        };
        let all = steps.into_iter().flat_map(|(at, cs)| cs.into_iter().map(move |c| change(at, c)));
        let mut all: Vec<_> = all.collect();
        self.watch = Some(last + 1);
        while all.len() > 1 && self.rng.random_bool(0.4) {
            let rest = all.split_off(self.rng.random_range(1..all.len()));
            let part = std::mem::replace(&mut all, rest);
            self.hear(Heard::Changes { header, changes: part, fragment: true });
            if self.rng.random_bool(0.1) {
                return self.cut();
            }
        }
        self.hear(Heard::Changes { header, changes: all, fragment: false });
    }

    fn cut(&mut self) {
        (self.question, self.watch) = (None, None);
        self.hear(Heard::Broken);
    }

    fn change(&mut self) {
        let count = self.rng.random_range(1..4);
        let changes = (0..count).map(|_| {
            let key = format!("/w/{}", self.rng.random_range(0..12));
            let value = self.rng.random_range(0..1_000).to_string();
            (key.into_bytes(), self.rng.random_bool(0.7).then(|| value.into_bytes()))
        });
        let changes = changes.collect();
        self.store.write(changes);
        self.note();
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..200_000);
        match self.rng.random_range(0..100) {
            0..35 => self.change(),
            35..80 => self.answer(),
            80..88 => self.cut(),
            88..93 => {
                let revision = self.rng.random_range(1..=self.store.revision());
                self.store.compact(revision);
            }
            // A stall: nothing comes until the follower takes the connection for half-open.
            93..95 => self.now += 3 * S,
            95..97 => self.backups.push(self.store.clone()),
            97..98 if !self.backups.is_empty() => {
                let index = self.rng.random_range(0..self.backups.len());
                self.clusters += 1;
                self.store = self.backups[index].restored(self.clusters);
                self.note();
                self.cut();
            }
            _ => {}
        }
        self.wake();
    }

    fn wake(&mut self) {
        let mut out = Vec::new();
        self.follower.wake(self.now, &mut out);
        self.done(out);
    }

    /// Lets the follower catch up, undisturbed, and compares its view with the registry's.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.now += 100_000;
            self.wake();
            self.answer();
        }
        let truth = &self.truth[&(self.store.cluster_id, self.store.revision())];
        let view: Plain = self.follower.view().iter().map(|(k, kv)| (k.clone(), kv.value.clone())).collect();
        if view != *truth || self.told.as_ref() != Some(truth) {
            self.wrong.get_or_insert(format!("in the end: {view:?}, true {truth:?}"));
        }
    }
}

fn play(seed: u64, off: i64) -> Option<String> {
    let mut run = Run::new(seed, off);
    for _ in 0..300 {
        run.step();
    }
    run.settle();
    run.wrong
}

#[test]
fn two_thousand_random_histories_are_told_as_they_were() {
    for seed in 0..2_000 {
        if let Some(wrong) = play(seed, 0) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

#[test]
fn a_client_that_resumes_one_revision_late_is_caught() {
    let caught = (0..50).filter(|seed| play(*seed, 1).is_some()).count();
    assert!(caught > 40, "caught {caught} of 50");
}

#[test]
fn a_registry_that_begins_one_revision_early_tells_nothing_twice() {
    // Early is harmless: what is known already is not told again.
    assert!((0..50).all(|seed| play(seed, -1).is_none()));
}
