//! The datagrams of peers on the loop: carried between one socket and the membership, the permits and operators. Bound: 64
//! datagrams a turn.

use crate::clock::{COUNTERS_INTERVAL, since_2026_ms};
use crate::config::PeerConfig;
use crate::error::PeerError;
use crate::event::Event;
use crate::log_limiter::LogLimiter;
use crate::permit_service::PermitService;
use crate::workers::Worker;
use basaltward_membership::{
    CALLS_KEY, MAX_DATAGRAM_BYTES, MemberId, MemberState, Membership, Output, OverrideRule, StatusRequest,
    StatusResponse, encode_counters,
};
use basaltward_net::{Io, Micros};
use basaltward_permits::{Fault, Observations, OperatorRequest, PermitRequest, PermitState, Stored, VERSION};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use tracing::{error, info};

/// The view with its socket.
pub struct PeerTransport {
    membership: Membership,
    start_ms: u64,
    socket: usize,
    address: SocketAddr,
    /// Where each is reached.
    peers: Vec<SocketAddr>,
    member_numbers: HashMap<SocketAddr, MemberId>,
    operators: Vec<IpAddr>,
    log_limiter: LogLimiter,
    /// Calls served, refused and failed, and when they are told next.
    call_counts: [u64; 3],
    next_calls_report: Micros,
    outputs: Vec<Output>,
    /// Our part in what is agreed, where the configuration asks for it.
    permits: Option<PermitService>,
}

fn member_numbers(peers: &[SocketAddr]) -> HashMap<SocketAddr, MemberId> {
    peers.iter().enumerate().map(|(n, at)| (*at, n as MemberId)).collect()
}

impl PeerTransport {
    /// The view that a configuration asks for.
    ///
    /// # Errors
    /// Where the configuration can't be used or its address can't be had.
    pub fn open(config: &PeerConfig, io: &mut Io, now: Micros) -> Result<Self, PeerError> {
        let life = since_2026_ms();
        let settings = config.membership_settings(life)?;
        let membership = Membership::new(settings, now)?;
        let permits = PermitService::new(&settings, config, now)?;
        let refused = |why| PeerError::Datagrams { at: config.listen, why };
        let (socket, address) = io.datagrams(config.listen).map_err(refused)?;
        Ok(Self {
            membership,
            start_ms: life,
            socket,
            address,
            member_numbers: member_numbers(&config.peers),
            peers: config.peers.clone(),
            operators: config.operators.clone(),
            log_limiter: LogLimiter::default(),
            call_counts: [0; 3],
            next_calls_report: now,
            outputs: Vec::new(),
            permits,
        })
    }

    /// The view.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// When this life began, in milliseconds since the beginning of 2026.
    pub fn start_ms(&self) -> u64 {
        self.start_ms
    }

    /// Tells a fact of ours, see [`Membership::publish_fact`].
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], stands: Micros) -> bool {
        self.membership.publish_fact(now, key, value, stands)
    }

    /// Where datagrams of peers come.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of the socket that datagrams come to.
    pub fn socket(&self) -> usize {
        self.socket
    }

    /// See [`Membership::inject_fault`].
    pub fn inject_fault(&mut self, newer: OverrideRule) {
        self.membership.inject_fault(newer);
    }

    /// See [`PermitService::plant`].
    pub fn inject_permit_fault(&mut self, fault: Fault, now: Micros) {
        self.permits.iter_mut().for_each(|permits| permits.inject_fault(fault, now));
    }

    /// When [`PeerTransport::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let agreed = self.permits.as_ref().map_or(Micros::MAX, PermitService::next_due);
        self.membership.next_due().min(self.next_calls_report).min(agreed)
    }

    /// A call has its answer: served, refused or failed.
    pub fn count_call(&mut self, outcome: usize) {
        self.call_counts[outcome] += 1;
    }

    /// A new configuration: its list of members and its operators hold from now on.
    pub fn update_peers(&mut self, fleet: &PeerConfig) {
        if self.membership.resize(fleet.peers.len() as MemberId) {
            (self.peers, self.member_numbers) = (fleet.peers.clone(), member_numbers(&fleet.peers));
            self.operators.clone_from(&fleet.operators);
            if let (Some(permits), Some(bounds)) = (&mut self.permits, fleet.bounds) {
                permits.update_config(bounds, &fleet.zones);
            }
            info!(members = self.peers.len(), "fleet's list read");
        }
    }

    /// Takes what waits at the socket.
    pub fn receive(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // Bounded: whoever sends without end does not hold up the loop.
        for _ in 0..64 {
            let Some((length, from)) = io.receive(self.socket, &mut bytes) else { break };
            let bytes = &bytes[..length];
            let kind = bytes.first().copied();
            if let Some(number) = self.member_numbers.get(&from).filter(|_| kind == Some(VERSION)) {
                if let Some(permits) = &mut self.permits {
                    permits.handle(&self.membership, now, *number, bytes);
                }
            } else if let Some(number) = self.member_numbers.get(&from) {
                self.membership.handle(now, *number, bytes, &mut self.outputs);
            } else if self.operators.contains(&from.ip())
                && let Ok(request) = StatusRequest::decode(bytes)
            {
                let answer = StatusResponse::new(&self.membership, now, request).encode();
                io.send_to(self.socket, from, &answer);
            } else if self.operators.contains(&from.ip())
                && let Ok(request) = OperatorRequest::read(bytes)
            {
                match &mut self.permits {
                    Some(permits) => {
                        permits.handle_operator_request(&self.membership, now, from, request, io, self.socket)
                    }
                    None => PermitService::reply_no_leader(io, self.socket, from, request.tag),
                }
            }
        }
        self.process_outputs(io, now, events);
    }

    /// Does what is due; `in_hand` says how much these workers have of ours.
    pub fn wake(
        &mut self,
        io: &mut Io,
        now: Micros,
        in_hand: impl FnOnce(&[&str]) -> usize,
        events: &mut Vec<Event>,
    ) {
        if now >= self.next_calls_report {
            let interval = COUNTERS_INTERVAL.for_members(self.peers.len());
            self.next_calls_report = now + interval;
            self.membership.publish_fact(now, CALLS_KEY, &encode_counters(&self.call_counts), interval * 4);
        }
        if let Some(permits) = &mut self.permits {
            permits.wake(&mut self.membership, now, in_hand);
        }
        if self.membership.next_due() <= now {
            self.membership.wake(now, &mut self.outputs);
        }
        self.process_outputs(io, now, events);
    }

    /// We leave, and finish what we have.
    pub fn leave(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        self.membership.leave(now, &mut self.outputs);
        self.process_outputs(io, now, events);
    }

    /// We are no more.
    pub fn stop(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        self.membership.stop(now, &mut self.outputs);
        self.process_outputs(io, now, events);
    }

    /// The latest that is agreed, as far as we know.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.permits.as_ref().and_then(PermitService::permit_state)
    }

    /// What the view shows of sites and their gateways; nothing where we have no part in what is agreed.
    pub fn site_observations(&self, now: Micros) -> Observations {
        self.permits
            .as_ref()
            .map(|permits| permits.site_observations(&self.membership, now))
            .unwrap_or_default()
    }

    /// Whether we have a part in what is agreed.
    pub fn has_permits(&self) -> bool {
        self.permits.is_some()
    }

    /// Asks for something that the fleet agrees on; [`Event::Answered`] with this number follows. None where we have no
    /// part in it.
    pub fn submit(&mut self, now: Micros, request: PermitRequest) -> Option<u32> {
        self.permits.as_mut().map(|permits| permits.submit(&self.membership, now, request))
    }

    /// Workers that are told: all of them where `whole`, or else what has changed.
    pub fn update_workers(&mut self, now: Micros, whole: bool, workers: &[Worker]) {
        self.permits.iter_mut().for_each(|permits| permits.update_workers(now, whole, workers));
    }

    /// Whether this worker is to be given nothing new, as the fleet drains it, or as we have not heard yet whether it
    /// does.
    pub fn is_blocked(&self, worker: &str) -> bool {
        self.permits.as_ref().is_some_and(|permits| permits.is_blocked(worker))
    }

    /// Whether this worker counts, though it may be gone.
    pub fn is_known(&self, worker: &str) -> bool {
        self.permits.as_ref().is_some_and(|permits| permits.is_known(worker))
    }

    fn process_outputs(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        if let Some(permits) = &mut self.permits {
            permits.process_outputs(io, now, (self.socket, &self.peers), events);
        }
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, bytes } => {
                    if let Some(to) = self.peers.get(usize::from(to)) {
                        io.send_to(self.socket, *to, &bytes);
                    }
                }
                Output::Changed { member: of, incarnation, state: is, .. } => {
                    events.push(Event::MemberChanged { member: of, incarnation, state: is });
                    self.log_change(now, of, is);
                }
                Output::Superseded { start } => {
                    error!(start, "a later life of our name goes on: the fleet hears nothing of us any more");
                    events.push(Event::Superseded);
                }
            }
        }
    }

    fn log_change(&mut self, now: Micros, of: MemberId, is: MemberState) {
        if self.log_limiter.allows(now, "fleet") {
            info!(member = of, ?is, live = self.membership.live_count(), part = ?self.membership.fleet_share(), "fleet");
        }
    }
}
