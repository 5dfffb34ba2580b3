//! The scheduler's peers: what the bulletin tells goes to them in their terms, and what they say comes back in the
//! bulletin's.

use crate::config::{FleetConfig, NodeConfig};
use crate::recorder::TraceRecorder;
use basaltward_bulletin::{Roster, Standing, Target};
use basaltward_membership::MemberId;
use basaltward_net::{Io, Micros};
use basaltward_peers::{Event, PeerConfig, PeerError, PeerTransport, Worker, WorkerState};
use std::collections::HashMap;

/// Peers of a scheduler.
pub struct Fleet {
    /// The view, and what is agreed.
    pub transport: PeerTransport,
    zones: Vec<String>,
    /// Workers as they were last told, where the fleet agrees on which are drained.
    targets: HashMap<String, Target>,
    /// News of workers whose drain began or ended, until the loop takes it.
    drains: Vec<Roster>,
    events: Vec<Event>,
}

fn told(config: &NodeConfig, fleet: &FleetConfig) -> PeerConfig {
    PeerConfig {
        sites: None,
        name: fleet.name.clone(),
        listen: fleet.listen,
        peers: fleet.peers.clone(),
        own: config.told.module.self_index as MemberId,
        seed: config.seed,
        operators: fleet.operators.clone(),
        zones: fleet.zones.clone(),
        bounds: fleet.bounds,
        version: fleet.version.clone(),
        round_trip: PeerConfig::ROUND_TRIP,
        bytes_per_s: 0,
    }
}

impl Fleet {
    /// The peers that a configuration asks for, if it does.
    ///
    /// # Errors
    /// As [`PeerTransport::open`].
    pub fn open(config: &NodeConfig, io: &mut Io, now: Micros) -> Result<Option<Self>, PeerError> {
        let Some(fleet) = &config.fleet else { return Ok(None) };
        let transport = PeerTransport::open(&told(config, fleet), io, now)?;
        let (zones, targets) = (config.told.zones.clone(), HashMap::new());
        Ok(Some(Self { transport, zones, targets, drains: Vec::new(), events: Vec::new() }))
    }

    /// A new configuration: its list of members and its operators hold from now on.
    pub fn reread(&mut self, config: &NodeConfig) {
        if let Some(fleet) = &config.fleet {
            self.transport.update_peers(&told(config, fleet));
        }
    }

    /// Has the peers do something, and records what they say.
    pub fn act(
        &mut self,
        now: Micros,
        recorder: &TraceRecorder,
        act: impl FnOnce(&mut PeerTransport, &mut Vec<Event>),
    ) {
        act(&mut self.transport, &mut self.events);
        for event in std::mem::take(&mut self.events) {
            match event {
                Event::MemberChanged { member: of, incarnation, state } => {
                    recorder.believed(now, of, incarnation, state)
                }
                Event::Agreed(known) => recorder.agreed(now, &known),
                Event::DrainsChanged(names) => {
                    let targets = names.iter().filter_map(|name| self.targets.get(name));
                    let targets = targets.map(|target| self.heard(target)).collect();
                    self.drains.push(Roster { all: false, targets });
                }
                // Logged where it was found; a scheduler wishes nothing by itself.
                Event::Superseded | Event::Answered { .. } => {}
            }
        }
    }

    /// What the bulletin tells, as the module is to hear it: whoever is drained leaves.
    pub fn told(&mut self, now: Micros, roster: &Roster) -> Roster {
        if !self.transport.has_permits() {
            return roster.clone();
        }
        let workers: Vec<_> = roster.targets.iter().map(|target| self.worker(target)).collect();
        self.transport.update_workers(now, roster.all, &workers);
        if roster.all {
            self.targets.values_mut().for_each(|target| target.state = Standing::Gone);
        }
        self.targets.extend(roster.targets.iter().map(|target| (target.uid.clone(), target.clone())));
        self.targets.retain(|name, _| self.transport.is_known(name));
        Roster { all: roster.all, targets: roster.targets.iter().map(|t| self.heard(t)).collect() }
    }

    /// News of workers whose drain began or ended.
    pub fn take_drains(&mut self) -> Vec<Roster> {
        std::mem::take(&mut self.drains)
    }

    fn worker(&self, target: &Target) -> Worker {
        let zone = self.zones.iter().position(|zone| *zone == target.az).unwrap_or(self.zones.len());
        let stands = match target.state {
            Standing::Ready => WorkerState::Ready,
            Standing::Terminating => WorkerState::Leaving,
            Standing::Gone => WorkerState::Gone,
        };
        Worker { name: target.uid.clone(), zone: zone as u8, boot_ms: target.boot_ms, state: stands }
    }

    fn heard(&self, target: &Target) -> Target {
        let drained = target.state == Standing::Ready && self.transport.is_blocked(&target.uid);
        let state = if drained { Standing::Terminating } else { target.state };
        Target { state, ..target.clone() }
    }
}
