//! What peers tell of copies, on the loop: between the datagrams, the orders and attempts that are out, and
//! [`InstanceDirectory`].

use crate::config::NodeConfig;
use crate::instance_directory::{CopyReport, InstanceDirectory};
use crate::links::JobEnd;
use basaltward::{Code, CopyNote, FunctionId, Member, MembersKind, Micros, WorkerId};
use basaltward_engine::{AttemptId, OrderId};
use basaltward_membership::MAX_DATAGRAM_BYTES;
use basaltward_net::{Io, NetError};
use std::collections::HashMap;
use std::net::SocketAddr;

type CopyLocation = (WorkerId, FunctionId);

/// What peers tell, and what is out that will tell us something.
pub struct Gossip {
    directory: InstanceDirectory,
    socket: usize,
    /// Every peer is reached there.
    group: SocketAddr,
    /// Where they send from.
    peers: HashMap<SocketAddr, u32>,
    attempts: HashMap<AttemptId, CopyLocation>,
    orders: HashMap<OrderId, CopyLocation>,
}

impl Gossip {
    /// Where the settings allow datagrams and the configuration says how all peers are reached. Not where it asks for
    /// the fleet's view, which has the only socket for them.
    ///
    /// # Errors
    /// Where the address can't be had.
    pub fn open(config: &NodeConfig, io: &mut Io, now: Micros) -> Result<Option<Self>, NetError> {
        let Some(addresses) = config.peers.as_ref().filter(|_| config.fleet.is_none()) else {
            return Ok(None);
        };
        let module = &config.settings.module;
        let (socket, _) = io.datagrams(addresses.listen)?;
        let (attempts, orders) = (HashMap::new(), HashMap::new());
        let others = addresses.addresses.iter().enumerate().filter(|(n, _)| *n != module.self_index as usize);
        let peers: HashMap<_, _> = others.map(|(number, at)| (*at, number as u32)).collect();
        let directory = InstanceDirectory::new(now, (module.self_index, peers.len()), module.family.keep);
        Ok(Some(Self { directory, socket, group: addresses.group, peers, attempts, orders }))
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.directory.next_due()
    }

    pub fn update_members(&mut self, kind: MembersKind, members: &[Member]) {
        self.directory.update_members(kind, members);
    }

    /// Takes what waits at the socket.
    pub fn receive(&mut self, io: &mut Io, now: Micros) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // Bounded: whoever sends without end does not hold up the loop.
        for _ in 0..64 {
            let Some((length, from)) = io.receive(self.socket, &mut bytes) else { return };
            if let Some(number) = self.peers.get(&from) {
                self.directory.receive(now, *number, &bytes[..length]);
            }
        }
    }

    /// Tells what is due.
    pub fn send_due(&mut self, io: &mut Io, now: Micros) {
        while let Some(bytes) = self.directory.next_datagram(now) {
            io.send_to(self.socket, self.group, &bytes);
        }
    }

    /// What the module is to hear.
    pub fn take_reports(&mut self) -> Vec<CopyReport> {
        self.directory.take_reports()
    }

    /// An attempt is begun.
    pub fn attempt_started(&mut self, now: Micros, id: AttemptId, worker: &WorkerId, function: &FunctionId) {
        self.directory.note_call(now, function);
        self.attempts.insert(id, (worker.clone(), function.clone()));
    }

    /// An order or a question is to go to a worker. What peers have answered does not.
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

    /// An order is no longer waited for.
    pub fn forget_order(&mut self, id: OrderId) {
        self.orders.remove(&id);
    }

    /// Whether idle copies that the module wants to go are in use by peers.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        self.directory.is_shared(now, worker, function)
    }

    /// Takes what the end of a job tells of copies.
    pub fn job_ended(&mut self, now: Micros, done: &JobEnd) {
        let (at, copies) = match done {
            JobEnd::Attempt(id, end) => {
                let is_loaded = end.code == Code::Ok && end.copy != CopyNote::Untold;
                let none = end.code == Code::Miss || end.copy == CopyNote::LoadFailed;
                (self.attempts.remove(id), if is_loaded { Some(1) } else { none.then_some(0) })
            }
            // An order that was turned away says nothing of copies that stood before.
            JobEnd::Order(id, code, copies) => {
                (self.orders.remove(id), (*code == Code::Ok).then_some(*copies))
            }
            JobEnd::Probe(..) => return,
        };
        if let (Some((worker, function)), Some(copies)) = (at, copies) {
            self.directory.observe(now, &worker, &function, copies);
        }
    }
}
