//! The loops of hollow members as their owner has them: commands in, looks out.

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

/// What all loops share.
pub(crate) struct Shared {
    pub spec: HollowSpec,
    pub peers: Vec<SocketAddr>,
    pub numbers: HashMap<SocketAddr, MemberId>,
    /// How links are now, and who runs.
    pub state: RwLock<SharedState>,
}

pub(crate) struct SharedState {
    pub conditions: NetworkConditions,
    /// By number.
    pub running: Vec<bool>,
    /// Counts the changes.
    pub version: u64,
}

/// What the members of a loop believe, and what they have spent.
#[derive(Debug, Default)]
pub(crate) struct Look {
    /// How many have each digest.
    pub views: BTreeMap<u32, usize>,
    /// The digest of the first member, where its view is that those live who run.
    pub right: Option<u32>,
    pub load: LoopCounters,
}

/// What a loop is told to do; each but the last is answered.
pub(crate) enum Command {
    Open(Vec<MemberId>, SyncSender<Result<(), HollowError>>),
    Kill(Vec<MemberId>, SyncSender<()>),
    Look { reset: bool, reply: SyncSender<Look> },
    Stop,
}

/// All loops. They end with the value.
pub(crate) struct Shards(Vec<Handle>);

struct Handle {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Shards {
    /// Starts loops without members.
    pub fn start(shared: &Arc<Shared>) -> Result<Self, HollowError> {
        let handle = |number: usize| {
            let io = Io::new(IoLimits::default())?;
            let (waker, (commands, receiver)) = (io.waker(), channel());
            let shard = Shard::new(io, shared.clone(), number as u64);
            let name = format!("hollow-{number}");
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                // A thousand members would else write a thousand logs.
                let _silent = tracing::subscriber::set_default(tracing::subscriber::NoSubscriber::new());
                shard.run(&receiver);
            })?;
            Ok(Handle { commands, waker, thread: Some(thread) })
        };
        Ok(Self((0..shared.spec.loops).map(handle).collect::<Result<_, HollowError>>()?))
    }

    /// Has each loop do something with those of the members that are its own; its answers, in no order.
    fn each<T>(&self, command: impl Fn(usize, SyncSender<T>) -> Command) -> Result<Vec<T>, HollowError> {
        let (reply, answers) = sync_channel(self.0.len());
        for (number, handle) in self.0.iter().enumerate() {
            handle.commands.send(command(number, reply.clone())).map_err(|_| HollowError::Ended)?;
            handle.waker.wake();
        }
        drop(reply);
        let answers: Vec<T> = answers.iter().collect();
        if answers.len() == self.0.len() { Ok(answers) } else { Err(HollowError::Ended) }
    }

    fn share(&self, members: &[MemberId], shard: usize) -> Vec<MemberId> {
        members.iter().copied().filter(|member| usize::from(*member) % self.0.len() == shard).collect()
    }

    /// Members start, under their numbers and addresses.
    pub fn open(&self, members: &[MemberId]) -> Result<(), HollowError> {
        self.each(|shard, reply| Command::Open(self.share(members, shard), reply))?.into_iter().collect()
    }

    /// Members die: their sockets are closed.
    pub fn kill(&self, members: &[MemberId]) -> Result<(), HollowError> {
        self.each(|shard, reply| Command::Kill(self.share(members, shard), reply)).map(drop)
    }

    /// What members believe, and what they have spent since the start. `reset` begins what is counted as the worst anew.
    pub fn look(&self, reset: bool) -> Result<Vec<Look>, HollowError> {
        self.each(|_, reply| Command::Look { reset, reply })
    }
}

impl Drop for Shards {
    fn drop(&mut self) {
        for handle in &mut self.0 {
            // One that has ended takes no command, and is joined all the same.
            let _ = handle.commands.send(Command::Stop);
            handle.waker.wake();
        }
        for handle in &mut self.0 {
            let _ = handle.thread.take().map(JoinHandle::join);
        }
    }
}
