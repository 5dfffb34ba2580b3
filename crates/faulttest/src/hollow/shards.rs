//! Controls the event loops of hollow members: sends them commands and collects their status.

use super::conditions::NetworkConditions;
use super::counters::LoopCounters;
use super::error::HollowError;
use super::script::HollowSpec;
use super::shard::Shard;
use basaltward_membership::MemberId;
use basaltward_net::{Io, IoLimits, Waker};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, SyncSender, channel, sync_channel};
use std::sync::{Arc, RwLock};
use std::thread::JoinHandle;

/// State shared by all event loops.
pub(crate) struct Shared {
    pub spec: HollowSpec,
    pub peers: Vec<SocketAddr>,
    /// Member numbers by address.
    pub numbers: HashMap<SocketAddr, MemberId>,
    /// The part that steps change.
    pub state: RwLock<SharedState>,
}

pub(crate) struct SharedState {
    pub conditions: NetworkConditions,
    /// Whether each member runs, by number.
    pub running: Vec<bool>,
    /// Incremented at every change.
    pub version: u64,
}

/// Status of one event loop.
#[derive(Debug, Default)]
pub(crate) struct LoopStatus {
    /// Number of members by the digest of their view.
    pub views: BTreeMap<u32, usize>,
    /// Digest of the first member's view, if exactly the running members are live in it.
    pub correct_digest: Option<u32>,
    pub counters: LoopCounters,
}

/// Commands to an event loop. Each but the last is answered.
pub(crate) enum Command {
    Open(Vec<MemberId>, SyncSender<Result<(), HollowError>>),
    Kill(Vec<MemberId>, SyncSender<()>),
    Status { reset: bool, reply: SyncSender<LoopStatus> },
    Stop,
}

/// All event loops; they are stopped on drop.
pub(crate) struct Shards(Vec<Handle>);

struct Handle {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Shards {
    /// Starts the event loops, without members.
    pub fn start(shared: &Arc<Shared>) -> Result<Self, HollowError> {
        let handle = |number: usize| {
            let io = Io::new(IoLimits::default())?;
            let (waker, (commands, receiver)) = (io.waker(), channel());
            let shard = Shard::new(io, shared.clone(), number as u64);
            let name = format!("hollow-{number}");
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                // Without this, a thousand members would write a thousand logs.
                let _silent = tracing::subscriber::set_default(tracing::subscriber::NoSubscriber::new());
                shard.run(&receiver);
            })?;
            Ok(Handle { commands, waker, thread: Some(thread) })
        };
        Ok(Self((0..shared.spec.loops).map(handle).collect::<Result<_, HollowError>>()?))
    }

    /// Sends a command to each event loop and returns the answers, in no particular order.
    fn broadcast<T>(&self, command: impl Fn(usize, SyncSender<T>) -> Command) -> Result<Vec<T>, HollowError> {
        let (reply, answers) = sync_channel(self.0.len());
        for (number, handle) in self.0.iter().enumerate() {
            handle.commands.send(command(number, reply.clone())).map_err(|_| HollowError::Ended)?;
            handle.waker.wake();
        }
        drop(reply);
        let answers: Vec<T> = answers.iter().collect();
        if answers.len() == self.0.len() { Ok(answers) } else { Err(HollowError::Ended) }
    }

    fn members_of_shard(&self, members: &[MemberId], shard: usize) -> Vec<MemberId> {
        members.iter().copied().filter(|member| usize::from(*member) % self.0.len() == shard).collect()
    }

    /// Starts members under their numbers and addresses.
    pub fn open(&self, members: &[MemberId]) -> Result<(), HollowError> {
        self.broadcast(|shard, reply| Command::Open(self.members_of_shard(members, shard), reply))?
            .into_iter()
            .collect()
    }

    /// Kills members: their sockets are closed without a message to the others.
    pub fn kill(&self, members: &[MemberId]) -> Result<(), HollowError> {
        self.broadcast(|shard, reply| Command::Kill(self.members_of_shard(members, shard), reply)).map(drop)
    }

    /// Status of all event loops, with counters since the start. `reset` then resets the maxima.
    pub fn status(&self, reset: bool) -> Result<Vec<LoopStatus>, HollowError> {
        self.broadcast(|_, reply| Command::Status { reset, reply })
    }
}

impl Drop for Shards {
    fn drop(&mut self) {
        for handle in &mut self.0 {
            // A loop that has ended accepts no command; its thread is joined below all the same.
            let _ = handle.commands.send(Command::Stop);
            handle.waker.wake();
        }
        for handle in &mut self.0 {
            let _ = handle.thread.take().map(JoinHandle::join);
        }
    }
}
