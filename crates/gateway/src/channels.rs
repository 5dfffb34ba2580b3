//! Message channels between the loops of one gateway: a single-producer single-consumer ring for each ordered pair of
//! loops, without locks.

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

/// Capacity of a ring, in messages; further messages wait at their sender.
const RING_CAPACITY: usize = 1_024;

/// A message from one loop to another.
pub enum Message {
    /// A call whose event the receiver owns; its answer is due at the sender by `deadline`.
    Call {
        waiter: WaiterId,
        identity: Identity,
        function: Arc<Function>,
        deadline: Micros,
        payload: Arc<Event>,
        claim: Claim,
    },
    /// A client of the sender has disconnected.
    ClientLeft(WaiterId),
    /// The final answer for a client of the receiver.
    Answer {
        waiter: WaiterId,
        answer: Answer<Reply>,
        attempts: u32,
        worker: Option<WorkerId>,
        origin: AnswerOrigin,
    },
}

/// The rings to and from one other loop.
struct Peer {
    outbox: Producer<Message>,
    /// Messages that did not fit into the ring, oldest first. Bounded by the calls in flight between the two loops.
    overflow: VecDeque<Message>,
    inbox: Consumer<Message>,
    waker: Waker,
    /// The peer has been woken and has not read its messages yet.
    wake_pending: Arc<AtomicBool>,
    /// Messages were sent to the peer since the last flush, or are still waiting.
    needs_flush: bool,
}

/// One loop's ends of the rings to and from all other loops.
pub struct LoopChannels {
    index: usize,
    peers: Vec<Option<Peer>>,
    /// This loop has been woken and has not read its messages yet.
    woken: Arc<AtomicBool>,
    /// Number of loops that may still send messages to others.
    active_loops: Arc<AtomicUsize>,
    /// This loop has been subtracted from `active_loops`.
    is_finished: bool,
    /// Hashes events to the loops that own them, in the same way in all loops.
    owner_hasher: RandomState,
    /// Recently recorded keyed and unsafe events of all loops.
    seen: Arc<SeenEvents>,
}

impl LoopChannels {
    /// Creates the channels of all loops, by loop index; `wakers` are the loops' wakers. Events recorded by any loop
    /// are remembered for at least `retention`.
    pub fn connect(wakers: &[Waker], retention: Micros) -> Vec<Self> {
        let count = wakers.len();
        let (owner_hasher, seen) = (RandomState::new(), Arc::new(SeenEvents::new(retention)));
        let active_loops = Arc::new(AtomicUsize::new(count));
        let woken: Vec<Arc<AtomicBool>> = wakers.iter().map(|_| Arc::default()).collect();
        // Indexed by reader, then by writer.
        let mut rings: Vec<Vec<_>> =
            (0..count).map(|_| (0..count).map(|_| Some(RingBuffer::new(RING_CAPACITY))).collect()).collect();
        let mut outboxes: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        let mut inboxes: Vec<Vec<_>> = (0..count).map(|_| Vec::new()).collect();
        for (reader, rings) in rings.iter_mut().enumerate() {
            for (writer, ring) in rings.iter_mut().enumerate() {
                let ring = ring.take().filter(|_| reader != writer);
                let (outbox, inbox) = ring.unzip();
                outboxes[writer].push(outbox);
                inboxes[reader].push(inbox);
            }
        }
        let ends = outboxes.into_iter().zip(inboxes).enumerate();
        let end = |(index, (outboxes, inboxes)): (usize, (Vec<Option<_>>, Vec<Option<_>>))| {
            let ends = outboxes.into_iter().zip(inboxes).enumerate();
            let peer = |(other, (outbox, inbox)): (usize, (Option<_>, Option<_>))| {
                let (overflow, waker, woken) = (VecDeque::new(), wakers[other].clone(), woken[other].clone());
                Some(Peer {
                    outbox: outbox?,
                    overflow,
                    inbox: inbox?,
                    waker,
                    wake_pending: woken,
                    needs_flush: false,
                })
            };
            Self {
                index,
                peers: ends.map(peer).collect(),
                woken: woken[index].clone(),
                active_loops: active_loops.clone(),
                is_finished: false,
                owner_hasher: owner_hasher.clone(),
                seen: seen.clone(),
            }
        };
        ends.map(end).collect()
    }

    /// This loop's index.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The loop that owns an event and the hash that determines it; `None` if there is only one loop. The hash is keyed
    /// with a random key of this process, so clients can't choose their loop.
    pub fn owner(&self, identity: &Identity) -> Option<(usize, u64)> {
        let hash = (self.peers.len() > 1).then(|| self.owner_hasher.hash_one(identity))?;
        Some(((hash % self.peers.len() as u64) as usize, hash))
    }

    /// Records a keyed or unsafe event by its hash; returns true if some loop may have recorded it before.
    pub fn record_seen(&self, now: Micros, hash: u64) -> bool {
        self.seen.record(now, hash)
    }

    /// Sends a message to a loop; returns false if that loop has ended.
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

    /// Pushes waiting messages and wakes the loops that have received some.
    pub fn flush(&mut self) {
        for peer in self.peers.iter_mut().flatten().filter(|peer| peer.needs_flush) {
            peer.push();
            // Messages left over are pushed in the next turn.
            peer.needs_flush = !peer.overflow.is_empty() && !peer.outbox.is_abandoned();
            if !peer.wake_pending.swap(true, Ordering::AcqRel) {
                peer.waker.wake();
            }
        }
    }

    /// Whether messages still have to be flushed.
    pub fn is_behind(&self) -> bool {
        self.peers.iter().flatten().any(|peer| peer.needs_flush)
    }

    /// Reads all messages. Later ones wake this loop again.
    pub fn receive(&mut self, out: &mut Vec<Message>) {
        if !self.woken.swap(false, Ordering::AcqRel) {
            return;
        }
        for peer in self.peers.iter_mut().flatten() {
            out.extend(std::iter::from_fn(|| peer.inbox.pop().ok()));
        }
    }

    /// Marks this loop as finished: it has no clients left and awaits nothing. Returns whether all loops are finished;
    /// only then may a loop end.
    pub fn mark_finished(&mut self) -> bool {
        if !std::mem::replace(&mut self.is_finished, true)
            && self.active_loops.fetch_sub(1, Ordering::AcqRel) == 1
        {
            self.peers.iter().flatten().for_each(|peer| peer.waker.wake());
        }
        self.active_loops.load(Ordering::Acquire) == 0
    }
}

impl Peer {
    /// Moves as many waiting messages as fit into the ring.
    fn push(&mut self) {
        while let Some(message) = self.overflow.pop_front() {
            if let Err(rtrb::PushError::Full(message)) = self.outbox.push(message) {
                return self.overflow.push_front(message);
            }
        }
    }
}

impl Drop for LoopChannels {
    /// A loop that ends for any reason, panics included, must not keep the others waiting.
    fn drop(&mut self) {
        self.mark_finished();
    }
}
