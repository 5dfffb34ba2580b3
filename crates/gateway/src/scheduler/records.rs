//! Records and log lines of a loop about sent jobs and its list of workers.

use super::Scheduler;
use crate::links::attempt_name;
use basaltward::{MembersKind, Micros, WorkerId};
use basaltward_engine::Input;
use basaltward_roster::{RosterUpdate, Source, to_member};
use basaltward_rules::Observation;
use tracing::{info, warn};

impl Scheduler {
    /// Reports the jobs handed to connections since the last call: to the engine always, to the recorder if it is on.
    pub(super) fn record_sent(&mut self, now: Micros) {
        for sent in self.links.sent.drain(..) {
            if let Some((id, _)) = &sent.attempt {
                self.engine.mark_written(*id);
            }
            if !self.recorder.is_enabled() {
                continue;
            }
            let worker = sent.worker.to_string();
            if let Some((id, identity)) = sent.attempt {
                let (event, attempt) =
                    (format!("{}#{}", identity.source, identity.id), attempt_name(&self.prefix, id));
                self.recorder.put(now, &self.name, Observation::Sent { event, attempt, worker });
            } else if let Some((function, count)) = sent.order {
                let function = function.name.to_string();
                self.recorder.put(now, &self.name, Observation::Ordered { worker, function, count });
            }
        }
    }

    /// Reads the roster file if it is due and passes a new list of workers to the engine.
    pub(super) fn poll_roster(&mut self, now: Micros) {
        let (kind, entries) = match self.roster.poll(now) {
            None => return,
            Some(RosterUpdate::Full(entries)) => (MembersKind::Whole, entries),
            Some(RosterUpdate::Changes(entries)) => (MembersKind::Changes, entries),
            Some(RosterUpdate::Failed(why)) => {
                warn!(
                    scheduler = self.name,
                    why, "roster is not usable; keeping the previous list of workers"
                );
                (MembersKind::Failed, Vec::new())
            }
        };
        let members: Vec<_> =
            entries.iter().map(|e| to_member(e, |wall| self.clock.to_monotonic(wall))).collect();
        self.record_states(now, kind, &members);
        self.engine_input(now, Input::Members(kind, members));
    }

    /// Logs and records the changes of worker states in a new list.
    pub(super) fn record_states(&mut self, now: Micros, kind: MembersKind, members: &[basaltward::Member]) {
        use basaltward::WorkerState;
        let mut changes: Vec<(WorkerId, WorkerState)> = Vec::new();
        if kind == MembersKind::Whole {
            let listed = |w: &WorkerId| members.iter().any(|m| m.worker == *w);
            changes.extend(
                self.worker_states.keys().filter(|w| !listed(w)).map(|w| (w.clone(), WorkerState::Gone)),
            );
        }
        changes.extend(members.iter().map(|m| (m.worker.clone(), m.state)));
        for (worker, state) in changes {
            if self.worker_states.get(&worker) == Some(&state) {
                continue;
            }
            info!(scheduler = self.name, %worker, ?state, "worker");
            if self.recorder.is_enabled() {
                let state = format!("{state:?}").to_lowercase();
                self.recorder.put(
                    now,
                    &self.name,
                    Observation::WorkerState { worker: worker.to_string(), state },
                );
            }
            if state == WorkerState::Gone {
                self.worker_states.remove(&worker);
            } else {
                self.worker_states.insert(worker, state);
            }
        }
        let active = self.worker_states.values().filter(|state| **state == WorkerState::Active).count();
        self.sites.iter_mut().for_each(|sites| sites.set_active_workers(active));
    }
}
