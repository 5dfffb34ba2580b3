//! What becomes of bytes on their way in one direction: late, slow, or not carried at all. Their order stays.

use basaltward_net::{EndReason, Micros};
use bytes::BytesMut;
use rand::RngExt;
use std::collections::VecDeque;

/// Bytes of one connection and direction under way, past which nothing more is read from who sends them.
pub(crate) const MOST_BYTES: usize = 1 << 20;

/// What a lost piece is later by, and how often one is lost at most.
const AGAIN_US: Micros = 200_000;
const MOST_AGAIN: u32 = 6;

/// One direction of a way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shaping {
    /// How late bytes arrive, at least and at most.
    pub delay_range: (Micros, Micros),
    /// Share of the pieces that are lost and sent again, which makes them and all behind them late.
    pub loss_rate: f64,
    /// Bytes a second over all connections; none without a bound.
    pub bytes_per_s: Option<u64>,
    /// Nothing is carried, and connections stay open.
    pub blackhole: bool,
}

impl Shaping {
    /// How late a piece arrives.
    pub(crate) fn draw(&self, rng: &mut impl RngExt) -> Micros {
        let (least, most) = self.delay_range;
        let again = (0..MOST_AGAIN).take_while(|_| rng.random::<f64>() < self.loss_rate).count();
        rng.random_range(least..=most.max(least)) + again as Micros * AGAIN_US
    }
}

/// What travels.
pub(crate) enum Item {
    Bytes(BytesMut),
    /// The connection's end, behind all that was sent before it.
    End(EndReason),
}

/// What is under way in one direction of one connection.
#[derive(Default)]
pub(crate) struct Lane {
    waiting: VecDeque<(Micros, Item)>,
    last: Micros,
    bytes: usize,
    /// For when a timer is set.
    pub armed: Option<Micros>,
}

impl Lane {
    /// Takes bytes in. `free` is when the way has sent all before them, `late` their own delay.
    pub fn push(
        &mut self,
        now: Micros,
        bytes: BytesMut,
        (rate, free): (Option<u64>, &mut Micros),
        late: Micros,
    ) {
        let Some(rate) = rate.map(|rate| rate.max(1)) else {
            return self.put(now + late, Item::Bytes(bytes));
        };
        let mut rest = bytes;
        // A slow way gives a little every twentieth of a second, not all at the end.
        let piece = (rate / 20).max(1) as usize;
        while !rest.is_empty() {
            let next = rest.split_to(piece.min(rest.len()));
            *free = (*free).max(now) + next.len() as u64 * 1_000_000 / rate;
            self.put(*free + late, Item::Bytes(next));
        }
    }

    /// The end of who sends.
    pub fn end(&mut self, now: Micros, how: EndReason, late: Micros) {
        self.put(now + late, Item::End(how));
    }

    fn put(&mut self, due: Micros, item: Item) {
        self.last = self.last.max(due);
        if let Item::Bytes(bytes) = &item {
            self.bytes += bytes.len();
        }
        self.waiting.push_back((self.last, item));
    }

    /// What arrives by now.
    pub fn due(&mut self, now: Micros) -> Option<Item> {
        let (_, item) = self.waiting.pop_front_if(|(due, _)| *due <= now)?;
        if let Item::Bytes(bytes) = &item {
            self.bytes -= bytes.len();
        }
        Some(item)
    }

    /// When something arrives next.
    pub fn next(&self) -> Option<Micros> {
        self.waiting.front().map(|(due, _)| *due)
    }

    /// Whether more may be read.
    pub fn has_room(&self) -> bool {
        self.bytes < MOST_BYTES
    }
}
