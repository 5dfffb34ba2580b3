//! Datagram transport of peers on the event loop: passes datagrams between one UDP socket and the membership, the
//! permits and operators. Bound: 64 datagrams are received per turn of the loop.

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

/// The membership and the permits with their UDP socket.
pub struct PeerTransport {
    membership: Membership,
    start_ms: u64,
    socket: usize,
    address: SocketAddr,
    /// Address of each member, by number.
    peers: Vec<SocketAddr>,
    member_numbers: HashMap<SocketAddr, MemberId>,
    operators: Vec<IpAddr>,
    log_limiter: LogLimiter,
    /// Calls served, refused and failed.
    call_counts: [u64; 3],
    /// When the call counts are published next.
    next_calls_report: Micros,
    outputs: Vec<Output>,
    /// The permits service, if this process takes part in the permits.
    permits: Option<PermitService>,
}

fn member_numbers(peers: &[SocketAddr]) -> HashMap<SocketAddr, MemberId> {
    peers.iter().enumerate().map(|(number, address)| (*address, number as MemberId)).collect()
}

impl PeerTransport {
    /// Opens the socket and starts the membership, and the permits if they are configured.
    ///
    /// # Errors
    /// If the configuration is invalid or its address can't be bound.
    pub fn open(config: &PeerConfig, io: &mut Io, now: Micros) -> Result<Self, PeerError> {
        let start_ms = since_2026_ms();
        let settings = config.membership_settings(start_ms)?;
        let membership = Membership::new(settings, now)?;
        let permits = PermitService::new(&settings, config, now)?;
        let socket_error = |why| PeerError::Datagrams { at: config.listen, why };
        let (socket, address) = io.bind_datagrams(config.listen).map_err(socket_error)?;
        Ok(Self {
            membership,
            start_ms,
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

    /// The local view of the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Start time of this process, in milliseconds since the beginning of 2026.
    pub fn start_ms(&self) -> u64 {
        self.start_ms
    }

    /// Publishes a fact of this member, see [`Membership::publish_fact`].
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], valid_for: Micros) -> bool {
        self.membership.publish_fact(now, key, value, valid_for)
    }

    /// The address that datagrams of peers are received on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of the datagram socket on the loop.
    pub fn socket(&self) -> usize {
        self.socket
    }

    /// Injects a fault into the membership, see [`Membership::inject_fault`].
    pub fn inject_fault(&mut self, rule: OverrideRule) {
        self.membership.inject_fault(rule);
    }

    /// Injects a fault into the permits, if this process takes part in them.
    pub fn inject_permit_fault(&mut self, fault: Fault, now: Micros) {
        self.permits.iter_mut().for_each(|permits| permits.inject_fault(fault, now));
    }

    /// When [`PeerTransport::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let permits = self.permits.as_ref().map_or(Micros::MAX, PermitService::next_due);
        self.membership.next_due().min(self.next_calls_report).min(permits)
    }

    /// Counts a call that was answered; `outcome` is 0 for served, 1 for refused, 2 for failed.
    pub fn count_call(&mut self, outcome: usize) {
        self.call_counts[outcome] += 1;
    }

    /// Applies a new configuration: the list of members, the operators, and the bounds and zones of the permits.
    /// Changes nothing if the local number is not within the new list.
    pub fn update_peers(&mut self, config: &PeerConfig) {
        if self.membership.resize(config.peers.len() as MemberId) {
            (self.peers, self.member_numbers) = (config.peers.clone(), member_numbers(&config.peers));
            self.operators.clone_from(&config.operators);
            if let (Some(permits), Some(bounds)) = (&mut self.permits, config.bounds) {
                permits.update_config(bounds, &config.zones);
            }
            info!(members = self.peers.len(), "list of members updated");
        }
    }

    /// Receives and handles the datagrams that wait at the socket.
    pub fn receive(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // Bounded, so that a sender that never stops does not block the loop.
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

    /// Runs the timers that are due. `in_flight` returns the number of calls that this process has in flight on the
    /// named workers.
    pub fn wake(
        &mut self,
        io: &mut Io,
        now: Micros,
        in_flight: impl FnOnce(&[&str]) -> usize,
        events: &mut Vec<Event>,
    ) {
        if now >= self.next_calls_report {
            let interval = COUNTERS_INTERVAL.for_members(self.peers.len());
            self.next_calls_report = now + interval;
            self.membership.publish_fact(now, CALLS_KEY, &encode_counters(&self.call_counts), interval * 4);
        }
        if let Some(permits) = &mut self.permits {
            permits.wake(&mut self.membership, now, in_flight);
        }
        if self.membership.next_due() <= now {
            self.membership.wake(now, &mut self.outputs);
        }
        self.process_outputs(io, now, events);
    }

    /// Announces that this process is leaving while it finishes its work.
    pub fn leave(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        self.membership.leave(now, &mut self.outputs);
        self.process_outputs(io, now, events);
    }

    /// Announces the end of this process.
    pub fn stop(&mut self, io: &mut Io, now: Micros, events: &mut Vec<Event>) {
        self.membership.stop(now, &mut self.outputs);
        self.process_outputs(io, now, events);
    }

    /// The latest permit state known to this process.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.permits.as_ref().and_then(PermitService::permit_state)
    }

    /// Observations of the sites and their gateways in the membership; empty if this process takes no part in the
    /// permits.
    pub fn site_observations(&self, now: Micros) -> Observations {
        self.permits
            .as_ref()
            .map(|permits| permits.site_observations(&self.membership, now))
            .unwrap_or_default()
    }

    /// Whether this process takes part in the permits.
    pub fn has_permits(&self) -> bool {
        self.permits.is_some()
    }

    /// Submits a permit request. [`Event::Answered`] with the returned number follows. `None` if this process takes
    /// no part in the permits.
    pub fn submit(&mut self, now: Micros, request: PermitRequest) -> Option<u32> {
        self.permits.as_mut().map(|permits| permits.submit(&self.membership, now, request))
    }

    /// Updates the list of workers: `workers` is the complete list if `complete`, otherwise the changed workers.
    pub fn update_workers(&mut self, now: Micros, complete: bool, workers: &[Worker]) {
        self.permits.iter_mut().for_each(|permits| permits.update_workers(now, complete, workers));
    }

    /// Whether a worker must not get new calls, because it is drained or because it is not known yet which workers
    /// are.
    pub fn is_blocked(&self, worker: &str) -> bool {
        self.permits.as_ref().is_some_and(|permits| permits.is_blocked(worker))
    }

    /// Whether a worker counts for the permits; a removed one still does for a while.
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
                Output::Changed { member, incarnation, state, .. } => {
                    events.push(Event::MemberChanged { member, incarnation, state });
                    self.log_change(now, member, state);
                }
                Output::Superseded { start } => {
                    error!(
                        start,
                        "superseded by a later incarnation of this member: the fleet ignores this process from now on"
                    );
                    events.push(Event::Superseded);
                }
            }
        }
    }

    fn log_change(&mut self, now: Micros, member: MemberId, state: MemberState) {
        if self.log_limiter.allows(now, "fleet") {
            info!(member, is = ?state, live = self.membership.live_count(), part = ?self.membership.fleet_share(), "fleet");
        }
    }
}
