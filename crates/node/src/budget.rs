//! Divides the platform's limits: descriptors, and the memory that remote sides can occupy.

/// Descriptors that belong to neither a client nor a link: standard streams, epoll, the waker and signal pipes, the
/// listener, two connections to bulletins, and a few spare for files read at a signal.
const OWN_DESCRIPTORS: usize = 20;
/// Maximum size of a call in flight, with its body.
const MAX_CALL_BYTES: usize = 20 << 10;
/// Maximum number of links to one worker; beyond it requests share them.
const MAX_LINKS_PER_WORKER: usize = 32;

/// Bounds derived from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to workers.
    pub links: usize,
    /// Maximum number of calls in flight.
    pub calls: usize,
    /// Maximum bytes of buffered input per connection.
    pub input: usize,
}

impl Budget {
    /// Derives the bounds from a number of descriptors and megabytes.
    ///
    /// Well-behaved clients hold at most a third of the descriptors. Three fifths of the descriptors that remain
    /// after the process's own ones are for clients, which leaves some for misbehaving clients; the rest are for
    /// links. Half of the memory is for calls in flight with their bodies, an eighth for the input of all clients.
    pub fn new(sockets: usize, memory_mb: f64) -> Self {
        let free = sockets.saturating_sub(OWN_DESCRIPTORS).max(10);
        let clients = free * 3 / 5;
        let memory = (memory_mb.max(8.0) * 1024.0 * 1024.0) as usize;
        let input = (memory / 8 / clients).clamp(8 << 10, 40 << 10);
        Self { clients, links: free - clients, calls: (memory / 2 / MAX_CALL_BYTES).max(64), input }
    }

    /// Maximum number of links per worker, given the number of workers.
    pub fn links_per_worker(&self, workers: usize) -> usize {
        (self.links / workers.max(1)).clamp(1, MAX_LINKS_PER_WORKER)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_bounds_stay_within_the_limits() {
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
