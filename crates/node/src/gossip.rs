//! Gossip with peers about loaded copies: connects the datagrams, the orders and attempts in flight, and
//! [`InstanceDirectory`].

use crate::config::NodeConfig;
use crate::instance_directory::{CopyReport, InstanceDirectory};
use crate::links::JobEnd;
use basaltward::{Code, CopyStatus, FunctionId, Member, MembersKind, Micros, WorkerId};
use basaltward_engine::{AttemptId, OrderId};
use basaltward_membership::MAX_DATAGRAM_BYTES;
use basaltward_net::{Io, NetError};
use std::collections::HashMap;
use std::net::SocketAddr;

type CopyLocation = (WorkerId, FunctionId);

/// The gossip state, and the jobs in flight whose ends will reveal copies.
pub struct Gossip {
    directory: InstanceDirectory,
    socket: usize,
    /// The address that reaches every peer.
    group: SocketAddr,
    /// Member numbers by the address that the peer sends from.
    peers: HashMap<SocketAddr, u32>,
    attempts: HashMap<AttemptId, CopyLocation>,
    orders: HashMap<OrderId, CopyLocation>,
}

impl Gossip {
    /// Opens the gossip socket if the settings allow datagrams and the configuration has a group address. With the
    /// fleet's view there is no gossip, since the view uses the only datagram socket.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn open(config: &NodeConfig, io: &mut Io, now: Micros) -> Result<Option<Self>, NetError> {
        let Some(addressing) = config.peers.as_ref().filter(|_| config.fleet.is_none()) else {
            return Ok(None);
        };
        let module = &config.settings.module;
        let (socket, _) = io.bind_datagrams(addressing.listen)?;
        let (attempts, orders) = (HashMap::new(), HashMap::new());
        let others =
            addressing.addresses.iter().enumerate().filter(|(n, _)| *n != module.self_index as usize);
        let peers: HashMap<_, _> = others.map(|(number, at)| (*at, number as u32)).collect();
        let directory =
            InstanceDirectory::new(now, (module.self_index, peers.len()), module.copies.keep_alive);
        Ok(Some(Self { directory, socket, group: addressing.group, peers, attempts, orders }))
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.directory.next_due()
    }

    pub fn update_members(&mut self, kind: MembersKind, members: &[Member]) {
        self.directory.update_members(kind, members);
    }

    /// Receives the datagrams that wait at the socket.
    pub fn receive(&mut self, io: &mut Io, now: Micros) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // Bounded, so that a peer that sends without end does not block the loop.
        for _ in 0..64 {
            let Some((length, from)) = io.receive(self.socket, &mut bytes) else { return };
            if let Some(number) = self.peers.get(&from) {
                self.directory.receive(now, *number, &bytes[..length]);
            }
        }
    }

    /// Sends the datagrams that are due.
    pub fn send_due(&mut self, io: &mut Io, now: Micros) {
        while let Some(bytes) = self.directory.next_datagram(now) {
            io.send_to(self.socket, self.group, &bytes);
        }
    }

    /// Takes the reports of copies for the module.
    pub fn take_reports(&mut self) -> Vec<CopyReport> {
        self.directory.take_reports()
    }

    /// Notes that an attempt was started.
    pub fn attempt_started(&mut self, now: Micros, id: AttemptId, worker: &WorkerId, function: &FunctionId) {
        self.directory.note_call(now, function);
        self.attempts.insert(id, (worker.clone(), function.clone()));
    }

    /// Registers an order, or a query where `count` is 0, that is about to go to a worker. Returns its end if
    /// peers' reports answer it; it is not sent then.
    pub fn answer_order(
        &mut self,
        now: Micros,
        id: OrderId,
        (worker, function): (&WorkerId, &FunctionId),
        count: u32,
    ) -> Option<JobEnd> {
        let known = match count {
            0 => self.directory.query(now, worker, function),
            _ => self.directory.copies_for_order(now, worker, function, count),
        };
        if let Some(copies) = known {
            return Some(JobEnd::Order(id, Code::Ok, copies));
        }
        self.orders.insert(id, (worker.clone(), function.clone()));
        None
    }

    /// Stops waiting for an order.
    pub fn forget_order(&mut self, id: OrderId) {
        self.orders.remove(&id);
    }

    /// Whether peers use the idle copies that the module would release.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        self.directory.is_shared(now, worker, function)
    }

    /// Records the loaded copies, or their absence, that the end of a job reveals.
    pub fn job_ended(&mut self, now: Micros, done: &JobEnd) {
        let (location, copies) = match done {
            JobEnd::Attempt(id, end) => {
                let is_loaded = end.code == Code::Ok && end.copy != CopyStatus::Unknown;
                let is_absent = end.code == Code::Miss || end.copy == CopyStatus::LoadFailed;
                (self.attempts.remove(id), if is_loaded { Some(1) } else { is_absent.then_some(0) })
            }
            // A rejected order is no evidence about copies that were loaded before.
            JobEnd::Order(id, code, copies) => {
                (self.orders.remove(id), (*code == Code::Ok).then_some(*copies))
            }
            JobEnd::Probe(..) => return,
        };
        if let (Some((worker, function)), Some(copies)) = (location, copies) {
            self.directory.observe(now, &worker, &function, copies);
        }
    }
}
