//! Delay, loss, rate limit and blackholing of the bytes on connections, per direction. The order of bytes is preserved.

use basaltward_net::{EndReason, Micros};
use bytes::BytesMut;
use rand::RngExt;
use std::collections::VecDeque;

/// Bytes queued for one direction of a connection at which the relay stops reading from the sender.
pub(crate) const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Extra delay for each loss of a chunk, as of a TCP retransmission.
const RETRANSMIT_US: Micros = 200_000;
/// Maximum number of times that one chunk is lost.
const MAX_RETRANSMITS: u32 = 6;

/// Faults of the bytes on a link's connections in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shaping {
    /// Minimum and maximum delay in microseconds, drawn evenly for each chunk.
    pub delay_range: (Micros, Micros),
    /// Share of chunks that are lost and retransmitted, which delays them and everything queued behind them.
    pub loss_rate: f64,
    /// Rate limit in bytes per second over all connections of the link; `None` for no limit.
    pub bytes_per_s: Option<u64>,
    /// Nothing is forwarded, but connections stay open.
    pub blackhole: bool,
}

impl Shaping {
    /// Draws the delay of a chunk.
    pub(crate) fn draw(&self, rng: &mut impl RngExt) -> Micros {
        let (least, most) = self.delay_range;
        let retransmits = (0..MAX_RETRANSMITS).take_while(|_| rng.random::<f64>() < self.loss_rate).count();
        rng.random_range(least..=most.max(least)) + retransmits as Micros * RETRANSMIT_US
    }
}

/// An item in a delay queue.
pub(crate) enum Item {
    Bytes(BytesMut),
    /// The end of the connection, delivered after everything that was sent before it.
    End(EndReason),
}

/// Bytes in flight in one direction of one connection, each chunk with its delivery time.
#[derive(Default)]
pub(crate) struct DelayQueue {
    items: VecDeque<(Micros, Item)>,
    /// Latest delivery time so far; no later item is delivered earlier.
    last_due: Micros,
    bytes: usize,
    /// The time for which a delivery timer is set, if any.
    pub timer: Option<Micros>,
}

impl DelayQueue {
    /// Queues bytes. With a rate limit, `free_at` is the time at which the link has sent all earlier bytes; `delay` is
    /// added.
    pub fn push(
        &mut self,
        now: Micros,
        bytes: BytesMut,
        (rate, free_at): (Option<u64>, &mut Micros),
        delay: Micros,
    ) {
        let Some(rate) = rate.map(|rate| rate.max(1)) else {
            return self.put(now + delay, Item::Bytes(bytes));
        };
        let mut rest = bytes;
        // A slow link delivers a chunk every twentieth of a second instead of everything at the end.
        let chunk = (rate / 20).max(1) as usize;
        while !rest.is_empty() {
            let next = rest.split_to(chunk.min(rest.len()));
            *free_at = (*free_at).max(now) + next.len() as u64 * 1_000_000 / rate;
            self.put(*free_at + delay, Item::Bytes(next));
        }
    }

    /// Queues the end of the connection.
    pub fn end(&mut self, now: Micros, reason: EndReason, delay: Micros) {
        self.put(now + delay, Item::End(reason));
    }

    fn put(&mut self, due: Micros, item: Item) {
        self.last_due = self.last_due.max(due);
        if let Item::Bytes(bytes) = &item {
            self.bytes += bytes.len();
        }
        self.items.push_back((self.last_due, item));
    }

    /// Takes the next item that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Item> {
        let (_, item) = self.items.pop_front_if(|(due, _)| *due <= now)?;
        if let Item::Bytes(bytes) = &item {
            self.bytes -= bytes.len();
        }
        Some(item)
    }

    /// Delivery time of the next item.
    pub fn next_due(&self) -> Option<Micros> {
        self.items.front().map(|(due, _)| *due)
    }

    /// Whether the relay may read more from the sender.
    pub fn has_capacity(&self) -> bool {
        self.bytes < MAX_QUEUED_BYTES
    }
}
