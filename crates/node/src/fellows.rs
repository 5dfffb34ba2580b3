//! The fleet's view on the loop: datagrams carried between it and the one socket for other schedulers.

use crate::agreement::Agreement;
use crate::config::{FleetConfig, NodeConfig};
use crate::notes::Notes;
use basaltward_agreed::{Request, VERSION};
use basaltward_bulletin::Roster;
use basaltward_fleet::{Answer, CALLS, FleetSettings, MOST, Newer, Number, Output, Question, View, value_of};
use basaltward_net::{Clock, Io, Micros, NetError};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use tracing::{error, info};

/// Counters of calls, and what we run, are told so often, and no more often than this for each member: all of them pass on those
/// of all. Three that are missed leave the last one standing.
pub(crate) const TELL_US: (Micros, Micros) = (5_000_000, 500_000);
/// Log lines on changes in a second at most; more are counted.
const LINES: u32 = 50;
/// The beginning of 2026, in milliseconds since 1970: incarnations count from there.
pub(crate) const EPOCH_MS: u64 = 1_767_225_600_000;

/// The view with its socket.
pub struct Fellows {
    view: View,
    socket: usize,
    /// Where each is reached.
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, Number>,
    operators: Vec<IpAddr>,
    /// The second that lines are counted for, those written in it, and those left out.
    lines: (Micros, u32, u32),
    /// Calls served, refused and failed, and when they are told next.
    calls: [u64; 3],
    tell_calls: Micros,
    out: Vec<Output>,
    /// Our part in what is agreed, where the configuration asks for it.
    agreement: Option<Agreement>,
    /// News of workers whose drain began or ended, until the loop takes it.
    drains: Vec<Roster>,
}

/// A hash of the fleet's name: members of another are not heeded. Not of its size, as a new list reaches
/// members one after another.
fn tag(fleet: &FleetConfig) -> u16 {
    (crc32fast::hash(fleet.name.as_bytes()) >> 16) as u16
}

/// Between two tellings of a fact: the least time, or what each member adds where that is more.
pub(crate) fn gap((least, each): (Micros, Micros), members: usize) -> Micros {
    least.max(each * members as Micros)
}

fn numbers(peers: &[SocketAddr]) -> HashMap<SocketAddr, Number> {
    peers.iter().enumerate().map(|(n, at)| (*at, n as Number)).collect()
}

impl Fellows {
    /// The view that a configuration asks for, if it does.
    ///
    /// # Errors
    /// Where its address can't be had.
    pub fn open(config: &NodeConfig, io: &mut Io, now: Micros) -> Result<Option<Self>, NetError> {
        let Some(fleet) = &config.fleet else { return Ok(None) };
        let (socket, _) = io.datagrams(fleet.listen)?;
        let own = config.told.module.self_index as Number;
        let start = (Clock::read().wall() / 1_000).saturating_sub(EPOCH_MS);
        let size = fleet.peers.len() as Number;
        let settings =
            FleetSettings { fleet: tag(fleet), ..FleetSettings::new(size, own, start, config.seed) };
        // The configuration has been checked for what this checks.
        let Ok(view) = View::new(settings, now) else { return Ok(None) };
        let zones = config.told.zones.clone();
        let agreement =
            fleet.bounds.and_then(|bounds| Agreement::new(&settings, (bounds, zones), fleet, now));
        let numbers = numbers(&fleet.peers);
        let (peers, operators) = (fleet.peers.clone(), fleet.operators.clone());
        Ok(Some(Self {
            view,
            socket,
            peers,
            numbers,
            operators,
            lines: (0, 0, 0),
            calls: [0; 3],
            tell_calls: now,
            out: Vec::new(),
            agreement,
            drains: Vec::new(),
        }))
    }

    /// See [`View::plant`].
    pub fn plant(&mut self, newer: Newer) {
        self.view.plant(newer);
    }

    /// See [`Agreement::plant`].
    pub fn plant_agreed(&mut self, fault: basaltward_agreed::Fault, now: Micros) {
        self.agreement.iter_mut().for_each(|agreement| agreement.plant(fault, now));
    }

    pub fn next_due(&self) -> Micros {
        let agreed = self.agreement.as_ref().map_or(Micros::MAX, Agreement::next_due);
        self.view.next_due().min(self.tell_calls).min(agreed)
    }

    /// A call has its answer: served, refused or failed.
    pub fn answered(&mut self, outcome: usize) {
        self.calls[outcome] += 1;
    }

    /// A new configuration: its list of members and its operators hold from now on.
    pub fn reread(&mut self, fleet: &FleetConfig) {
        if self.view.resize(fleet.peers.len() as Number) {
            (self.peers, self.numbers) = (fleet.peers.clone(), numbers(&fleet.peers));
            self.operators.clone_from(&fleet.operators);
            if let (Some(agreement), Some(bounds)) = (&mut self.agreement, fleet.bounds) {
                agreement.reread(bounds, &fleet.zones);
            }
            info!(members = self.peers.len(), "fleet's list read");
        }
    }

    /// Takes what waits at the socket.
    pub fn data(&mut self, io: &mut Io, now: Micros, notes: &Notes) {
        let mut bytes = [0; MOST + 1];
        // Bounded: whoever sends without end does not hold up the loop.
        for _ in 0..64 {
            let Some((length, from)) = io.receive(self.socket, &mut bytes) else { break };
            let bytes = &bytes[..length];
            let kind = bytes.first().copied();
            if let Some(number) = self.numbers.get(&from).filter(|_| kind == Some(VERSION)) {
                if let Some(agreement) = &mut self.agreement {
                    agreement.handle(&self.view, now, *number, bytes);
                }
            } else if let Some(number) = self.numbers.get(&from) {
                self.view.handle(now, *number, bytes, &mut self.out);
            } else if self.operators.contains(&from.ip())
                && let Ok(question) = Question::read(bytes)
            {
                let answer = Answer::new(&self.view, now, question).write();
                io.send_to(self.socket, from, &answer);
            } else if self.operators.contains(&from.ip())
                && let Ok(request) = Request::read(bytes)
            {
                match &mut self.agreement {
                    Some(agreement) => agreement.asked(&self.view, now, from, request, io, self.socket),
                    None => Agreement::none(io, self.socket, from, request.tag),
                }
            }
        }
        self.carry_out(io, now, notes);
    }

    /// Does what is due; `in_hand` says how much these workers have of ours.
    pub fn wake(&mut self, io: &mut Io, now: Micros, notes: &Notes, in_hand: impl FnOnce(&[&str]) -> usize) {
        if now >= self.tell_calls {
            let gap = gap(TELL_US, self.peers.len());
            self.tell_calls = now + gap;
            self.view.tell_fact(now, CALLS, &value_of(&self.calls), gap * 4);
        }
        if let Some(agreement) = &mut self.agreement {
            agreement.wake(&mut self.view, now, in_hand);
        }
        if self.view.next_due() <= now {
            self.view.wake(now, &mut self.out);
        }
        self.carry_out(io, now, notes);
    }

    /// We leave, and finish what we have.
    pub fn leave(&mut self, io: &mut Io, now: Micros, notes: &Notes) {
        self.view.leave(now, &mut self.out);
        self.carry_out(io, now, notes);
    }

    /// We are no more.
    pub fn stop(&mut self, io: &mut Io, now: Micros, notes: &Notes) {
        self.view.stop(now, &mut self.out);
        self.carry_out(io, now, notes);
    }

    /// What the bulletin tells, as the module is to hear it.
    pub fn told(&mut self, now: Micros, roster: &Roster) -> Roster {
        self.agreement.as_mut().map_or_else(|| roster.clone(), |agreement| agreement.told(now, roster))
    }

    /// News of workers whose drain began or ended.
    pub fn take_drains(&mut self) -> Vec<Roster> {
        std::mem::take(&mut self.drains)
    }

    fn carry_out(&mut self, io: &mut Io, now: Micros, notes: &Notes) {
        if let Some(agreement) = &mut self.agreement {
            self.drains.extend(agreement.carry_out(io, now, notes, self.socket, &self.peers));
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, bytes } => {
                    if let Some(to) = self.peers.get(usize::from(to)) {
                        io.send_to(self.socket, *to, &bytes);
                    }
                }
                Output::Changed { of, incarnation, is, .. } => {
                    notes.believed(now, of, incarnation, is);
                    self.note(now, of, is);
                }
                Output::Superseded { start } => {
                    error!(start, "a later life of our name goes on: the fleet hears nothing of us any more");
                }
            }
        }
    }

    fn note(&mut self, now: Micros, of: Number, is: basaltward_fleet::State) {
        if now >= self.lines.0 + 1_000_000 {
            if self.lines.2 > 0 {
                info!(left_out = self.lines.2, "fleet");
            }
            self.lines = (now, 0, 0);
        }
        if self.lines.1 < LINES {
            self.lines.1 += 1;
            info!(member = of, ?is, live = self.view.live(), part = ?self.view.part(), "fleet");
        } else {
            self.lines.2 += 1;
        }
    }
}
