//! What peers tell of copies, on the loop: between the datagrams, the orders and attempts that are out, and
//! [`InstanceDirectory`].

use crate::config::NodeConfig;
use crate::instance_directory::{InstanceDirectory, News};
use crate::links::Done;
use basaltward::{Code, CopyStatus, FunctionId, Member, MembersKind, Micros, WorkerId};
use basaltward_engine::{AttemptId, OrderId};
use basaltward_membership::MAX_DATAGRAM_BYTES;
use basaltward_net::{Io, NetError};
use std::collections::HashMap;
use std::net::SocketAddr;

type At = (WorkerId, FunctionId);

/// What peers tell, and what is out that will tell us something.
pub struct Gossip {
    directory: InstanceDirectory,
    socket: usize,
    /// Every peer is reached there.
    all: SocketAddr,
    /// Where they send from.
    peers: HashMap<SocketAddr, u32>,
    attempts: HashMap<AttemptId, At>,
    orders: HashMap<OrderId, At>,
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
        let module = &config.told.module;
        let (socket, _) = io.datagrams(addresses.listen)?;
        let (attempts, orders) = (HashMap::new(), HashMap::new());
        let others = addresses.each.iter().enumerate().filter(|(n, _)| *n != module.self_index as usize);
        let peers: HashMap<_, _> = others.map(|(number, at)| (*at, number as u32)).collect();
        let directory =
            InstanceDirectory::new(now, (module.self_index, peers.len()), module.copies.keep_alive);
        Ok(Some(Self { directory, socket, all: addresses.all, peers, attempts, orders }))
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.directory.next_due()
    }

    pub fn members(&mut self, kind: MembersKind, members: &[Member]) {
        self.directory.members(kind, members);
    }

    /// Takes what waits at the socket.
    pub fn data(&mut self, io: &mut Io, now: Micros) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // Bounded: whoever sends without end does not hold up the loop.
        for _ in 0..64 {
            let Some((length, from)) = io.receive(self.socket, &mut bytes) else { return };
            if let Some(number) = self.peers.get(&from) {
                self.directory.heard(now, *number, &bytes[..length]);
            }
        }
    }

    /// Tells what is due.
    pub fn wake(&mut self, io: &mut Io, now: Micros) {
        while let Some(bytes) = self.directory.take(now) {
            io.send_to(self.socket, self.all, &bytes);
        }
    }

    /// What the module is to hear.
    pub fn take_news(&mut self) -> Vec<News> {
        self.directory.take_news()
    }

    /// An attempt is begun.
    pub fn started(&mut self, now: Micros, id: AttemptId, worker: &WorkerId, function: &FunctionId) {
        self.directory.called(now, function);
        self.attempts.insert(id, (worker.clone(), function.clone()));
    }

    /// An order or a question is to go to a worker. What peers have answered does not.
    pub fn order(
        &mut self,
        now: Micros,
        id: OrderId,
        (worker, function): (&WorkerId, &FunctionId),
        count: u32,
    ) -> Option<Done> {
        let told = match count {
            0 => self.directory.asked(now, worker, function),
            _ => self.directory.ordered(now, worker, function, count),
        };
        if let Some(copies) = told {
            return Some(Done::Order(id, Code::Ok, copies));
        }
        self.orders.insert(id, (worker.clone(), function.clone()));
        None
    }

    /// An order is no longer waited for.
    pub fn forget(&mut self, id: OrderId) {
        self.orders.remove(&id);
    }

    /// Whether idle copies that the module wants to go are in use by peers.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        self.directory.is_shared(now, worker, function)
    }

    /// Takes what the end of a job tells of copies.
    pub fn ended(&mut self, now: Micros, done: &Done) {
        let (at, copies) = match done {
            Done::Attempt(id, end) => {
                let stands = end.code == Code::Ok && end.copy != CopyStatus::Unknown;
                let none = end.code == Code::Miss || end.copy == CopyStatus::LoadFailed;
                (self.attempts.remove(id), if stands { Some(1) } else { none.then_some(0) })
            }
            // An order that was turned away says nothing of copies that stood before.
            Done::Order(id, code, copies) => (self.orders.remove(id), (*code == Code::Ok).then_some(*copies)),
            Done::Probe(..) => return,
        };
        if let (Some((worker, function)), Some(copies)) = (at, copies) {
            self.directory.saw(now, &worker, &function, copies);
        }
    }
}
