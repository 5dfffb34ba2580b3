//! The scheduler's peers: translates the bulletin's rosters for the peer transport, and its events back into
//! rosters.

use crate::config::{FleetConfig, NodeConfig};
use crate::recorder::TraceRecorder;
use basaltward_bulletin::{Roster, Target, TargetState};
use basaltward_membership::MemberId;
use basaltward_net::{Io, Micros};
use basaltward_peers::{Event, PeerConfig, PeerError, PeerTransport, Worker, WorkerState};
use std::collections::HashMap;

/// The peers of a scheduler.
pub struct Fleet {
    /// The fleet's view and permits.
    pub transport: PeerTransport,
    zones: Vec<String>,
    /// The last known entry of each worker, if the fleet grants permits for drains.
    targets: HashMap<String, Target>,
    /// Workers whose drain began or ended, until the loop takes them.
    drain_changes: Vec<Roster>,
    events: Vec<Event>,
}

fn peer_config(config: &NodeConfig, fleet: &FleetConfig) -> PeerConfig {
    PeerConfig {
        sites: None,
        name: fleet.name.clone(),
        listen: fleet.listen,
        peers: fleet.peers.clone(),
        own: config.settings.module.self_index as MemberId,
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
    /// Opens the transport to the configured peers, if there are any.
    ///
    /// # Errors
    /// As [`PeerTransport::open`].
    pub fn open(config: &NodeConfig, io: &mut Io, now: Micros) -> Result<Option<Self>, PeerError> {
        let Some(fleet) = &config.fleet else { return Ok(None) };
        let transport = PeerTransport::open(&peer_config(config, fleet), io, now)?;
        let (zones, targets) = (config.settings.zones.clone(), HashMap::new());
        Ok(Some(Self { transport, zones, targets, drain_changes: Vec::new(), events: Vec::new() }))
    }

    /// Applies the list of members and the operators of a new configuration.
    pub fn reread(&mut self, config: &NodeConfig) {
        if let Some(fleet) = &config.fleet {
            self.transport.update_peers(&peer_config(config, fleet));
        }
    }

    /// Calls the transport, then handles and records its events.
    pub fn act(
        &mut self,
        now: Micros,
        recorder: &TraceRecorder,
        act: impl FnOnce(&mut PeerTransport, &mut Vec<Event>),
    ) {
        act(&mut self.transport, &mut self.events);
        for event in std::mem::take(&mut self.events) {
            match event {
                Event::MemberChanged { member, incarnation, state } => {
                    recorder.view_changed(now, member, incarnation, state)
                }
                Event::Agreed(known) => recorder.permits_changed(now, &known),
                Event::DrainsChanged(names) => {
                    let targets = names.iter().filter_map(|name| self.targets.get(name));
                    let targets = targets.map(|target| self.with_drain(target)).collect();
                    self.drain_changes.push(Roster { all: false, targets });
                }
                // Logged where it was detected; a scheduler requests nothing by itself.
                Event::Superseded | Event::Answered { .. } => {}
            }
        }
    }

    /// Applies the bulletin's roster and returns it for the module, with drained workers marked as leaving.
    pub fn apply_roster(&mut self, now: Micros, roster: &Roster) -> Roster {
        if !self.transport.has_permits() {
            return roster.clone();
        }
        let workers: Vec<_> = roster.targets.iter().map(|target| self.worker(target)).collect();
        self.transport.update_workers(now, roster.all, &workers);
        if roster.all {
            self.targets.values_mut().for_each(|target| target.state = TargetState::Gone);
        }
        self.targets.extend(roster.targets.iter().map(|target| (target.uid.clone(), target.clone())));
        self.targets.retain(|name, _| self.transport.is_known(name));
        Roster { all: roster.all, targets: roster.targets.iter().map(|t| self.with_drain(t)).collect() }
    }

    /// Takes the workers whose drain began or ended.
    pub fn take_drain_changes(&mut self) -> Vec<Roster> {
        std::mem::take(&mut self.drain_changes)
    }

    fn worker(&self, target: &Target) -> Worker {
        let zone = self.zones.iter().position(|zone| *zone == target.az).unwrap_or(self.zones.len());
        let state = match target.state {
            TargetState::Ready => WorkerState::Ready,
            TargetState::Terminating => WorkerState::Leaving,
            TargetState::Gone => WorkerState::Gone,
        };
        Worker { name: target.uid.clone(), zone: zone as u8, boot_ms: target.boot_ms, state }
    }

    fn with_drain(&self, target: &Target) -> Target {
        let drained = target.state == TargetState::Ready && self.transport.is_blocked(&target.uid);
        let state = if drained { TargetState::Terminating } else { target.state };
        Target { state, ..target.clone() }
    }
}
