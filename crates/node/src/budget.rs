//! How the limits of the platform are divided: descriptors, and the memory that peers can take.

/// Descriptors that are neither a client's nor a link's: standard streams, epoll, the waker and the signals'
/// pipes, the listener, two connections to bulletins, and some to spare for files read at a signal.
const OWN_DESCRIPTORS: usize = 20;
/// Most bytes of a call with its body, in hand.
const MAX_CALL_BYTES: usize = 20 << 10;
/// Most links to one worker: beyond it requests share them.
const MAX_LINKS_PER_WORKER: usize = 32;

/// Bounds that follow from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Most connections of clients.
    pub clients: usize,
    /// Most connections to workers.
    pub links: usize,
    /// Most calls in hand.
    pub calls: usize,
    /// Most bytes of input held for one connection.
    pub input: usize,
}

impl Budget {
    /// The bounds under so many descriptors and megabytes.
    ///
    /// Usual clients hold a third of the descriptors at most; three fifths of what is left after our own leave
    /// room beside them for those who come to no good, the rest are links. Of the memory a half is for calls
    /// in hand with their bodies, an eighth for the inputs of all clients.
    pub fn new(sockets: usize, memory_mb: f64) -> Self {
        let free = sockets.saturating_sub(OWN_DESCRIPTORS).max(10);
        let clients = free * 3 / 5;
        let memory = (memory_mb.max(8.0) * 1024.0 * 1024.0) as usize;
        let input = (memory / 8 / clients).clamp(8 << 10, 40 << 10);
        Self { clients, links: free - clients, calls: (memory / 2 / MAX_CALL_BYTES).max(64), input }
    }

    /// Most links to each of so many workers.
    pub fn links_per_worker(&self, workers: usize) -> usize {
        (self.links / workers.max(1)).clamp(1, MAX_LINKS_PER_WORKER)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_is_held_stays_within_the_limits() {
        for (sockets, memory_mb) in [(256, 32.0), (1_024, 192.0), (64, 8.0)] {
            let budget = Budget::new(sockets, memory_mb);
            assert!(budget.clients + budget.links + OWN_DESCRIPTORS <= sockets, "{budget:?}");
            assert!(budget.clients > sockets / 3, "{budget:?}");
            let bytes = budget.calls * MAX_CALL_BYTES + budget.clients * budget.input;
            assert!(bytes as f64 <= memory_mb * 0.65 * 1024.0 * 1024.0, "{budget:?}");
        }
        assert_eq!([1, 12, 500].map(|n| Budget::new(256, 32.0).links_per_worker(n)), [32, 7, 1]);
    }
}
