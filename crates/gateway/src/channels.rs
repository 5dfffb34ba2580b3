//! What the loops of one gateway say to each other: a ring for each pair, one writer and one reader, no lock.

use crate::worker_wire::Reply;
use basaltward::{Micros, WorkerId};
use basaltward_cloudevents::Event;
use basaltward_engine::{Answer, AnswerOrigin, Claim, Function, Identity, SeenEvents, WaiterId};
use basaltward_net::Waker;
use rtrb::{Consumer, Producer, RingBuffer};
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Messages that a ring holds; further ones wait with their sender.
const RING_CAPACITY: usize = 1_024;

/// From one loop to another.
pub enum Message {
    /// A call that the reader owns; `by` is when its answer is due at the sender.
    Call {
        waiter: WaiterId,
        identity: Identity,
        function: Arc<Function>,
        deadline: Micros,
        payload: Arc<Event>,
        claim: Claim,
    },
    /// A client of the sender has left.
    ClientLeft(WaiterId),
    /// The final answer for a client of the reader.
    Answer {
        waiter: WaiterId,
        answer: Answer<Reply>,
        attempts: u32,
        worker: Option<WorkerId>,
        origin: AnswerOrigin,
    },
}

struct Peer {
    outbox: Producer<Message>,
    /// What found no room, oldest first. Bounded by the calls that are out between the two.
    overflow: VecDeque<Message>,
    inbox: Consumer<Message>,
    waker: Waker,
    /// The peer was woken and has not looked yet.
    wake_pending: Arc<AtomicBool>,
    needs_flush: bool,
}

/// One loop's end of the rings to and from all others.
pub struct LoopChannels {
    me: usize,
    peers: Vec<Option<Peer>>,
    woken: Arc<AtomicBool>,
    /// Loops that may still have something for others.
    active_loops: Arc<AtomicUsize>,
    is_idle: bool,
    owner_hasher: RandomState,
    seen: Arc<SeenEvents>,
}

impl LoopChannels {
    /// The ends of all loops, by number; `wakers` are theirs. Events are known to each other's loops for at
    /// least `span`.
    pub fn join(wakers: &[Waker], span: Micros) -> Vec<Self> {
        let count = wakers.len();
        let (owners, seen) = (RandomState::new(), Arc::new(SeenEvents::new(span)));
        let busy = Arc::new(AtomicUsize::new(count));
        let woken: Vec<Arc<AtomicBool>> = wakers.iter().map(|_| Arc::default()).collect();
        // By reader, then writer.
        let mut rings: Vec<Vec<_>> =
            (0..count).map(|_| (0..count).map(|_| Some(RingBuffer::new(RING_CAPACITY))).collect()).collect();
        let mut outs: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        let mut inboxes: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        for (reader, rings) in rings.iter_mut().enumerate() {
            for (writer, ring) in rings.iter_mut().enumerate() {
                let ring = ring.take().filter(|_| reader != writer);
                let (out, inbox) = ring.unzip();
                outs[writer].push(out);
                inboxes[reader].push(inbox);
            }
        }
        let ends = outs.into_iter().zip(inboxes).enumerate();
        let end = |(me, (outs, inboxes)): (usize, (Vec<Option<_>>, Vec<Option<_>>))| {
            let ends = outs.into_iter().zip(inboxes).enumerate();
            let peer = |(other, (out, inbox)): (usize, (Option<_>, Option<_>))| {
                let (waiting, waker, woken) = (VecDeque::new(), wakers[other].clone(), woken[other].clone());
                Some(Peer {
                    outbox: out?,
                    overflow: waiting,
                    inbox: inbox?,
                    waker,
                    wake_pending: woken,
                    needs_flush: false,
                })
            };
            Self {
                me,
                peers: ends.map(peer).collect(),
                woken: woken[me].clone(),
                active_loops: busy.clone(),
                is_idle: false,
                owner_hasher: owners.clone(),
                seen: seen.clone(),
            }
        };
        ends.map(end).collect()
    }

    /// This loop's number.
    pub fn index(&self) -> usize {
        self.me
    }

    /// The loop that owns an event, with the hash that says so; nothing where there is one loop only. The hash
    /// has a key of this process: no client can choose its loop.
    pub fn owner(&self, identity: &Identity) -> Option<(usize, u64)> {
        let hash = (self.peers.len() > 1).then(|| self.owner_hasher.hash_one(identity))?;
        Some(((hash % self.peers.len() as u64) as usize, hash))
    }

    /// Takes note of a keyed or unsafe event, by its hash; true where some loop may have heard of it before.
    pub fn record_seen(&self, now: Micros, hash: u64) -> bool {
        self.seen.record(now, hash)
    }

    /// Gives a loop a message; false where that loop has ended.
    pub fn send(&mut self, to: usize, message: Message) -> bool {
        let Some(Some(peer)) = self.peers.get_mut(to) else { return false };
        if peer.outbox.is_abandoned() {
            return false;
        }
        peer.needs_flush = true;
        peer.overflow.push_back(message);
        peer.push();
        true
    }

    /// Wakes the loops that got something.
    pub fn flush(&mut self) {
        for peer in self.peers.iter_mut().flatten().filter(|peer| peer.needs_flush) {
            peer.push();
            // With messages left over it stays touched, so that the next turn pushes on.
            peer.needs_flush = !peer.overflow.is_empty() && !peer.outbox.is_abandoned();
            if !peer.wake_pending.swap(true, Ordering::AcqRel) {
                peer.waker.wake();
            }
        }
    }

    /// Whether messages wait for room in a ring.
    pub fn is_behind(&self) -> bool {
        self.peers.iter().flatten().any(|peer| peer.needs_flush)
    }

    /// Takes what has come. The others wake this loop again from here on.
    pub fn receive(&mut self, out: &mut Vec<Message>) {
        if !self.woken.swap(false, Ordering::AcqRel) {
            return;
        }
        for peer in self.peers.iter_mut().flatten() {
            out.extend(std::iter::from_fn(|| peer.inbox.pop().ok()));
        }
    }

    /// This loop has no clients left and awaits nothing: gives whether that holds for all, who may then end.
    pub fn finish(&mut self) -> bool {
        if !std::mem::replace(&mut self.is_idle, true)
            && self.active_loops.fetch_sub(1, Ordering::AcqRel) == 1
        {
            self.peers.iter().flatten().for_each(|peer| peer.waker.wake());
        }
        self.active_loops.load(Ordering::Acquire) == 0
    }
}

impl Peer {
    fn push(&mut self) {
        while let Some(message) = self.overflow.pop_front() {
            if let Err(rtrb::PushError::Full(message)) = self.outbox.push(message) {
                return self.overflow.push_front(message);
            }
        }
    }
}

impl Drop for LoopChannels {
    /// A loop that ends, however it does, holds no other back.
    fn drop(&mut self) {
        self.finish();
    }
}
