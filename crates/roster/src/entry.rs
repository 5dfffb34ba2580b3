use basaltward::{Member, Micros, WorkerState};

/// One worker in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Address `IP:port`, which is also the worker's name.
    pub address: String,
    /// State.
    pub state: WorkerState,
    /// Last start in microseconds since 1970; `None` means long ago.
    pub started: Option<Micros>,
    /// Index of the kind in [`Names::kinds`].
    pub kind: usize,
    /// Index of the zone in [`Names::zones`].
    pub zone: usize,
    /// Cell.
    pub cell: u64,
    /// Configured relative size.
    pub size: f64,
}

/// The kinds and zones that entries may refer to by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the kinds of workers.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Converts an entry to the module's member; `to_monotonic` converts a wall time to the loop's clock. For the module 0
/// means long ago, so a start before the clock's zero becomes 1.
pub fn to_member(entry: &Entry, to_monotonic: impl Fn(Micros) -> Micros) -> Member {
    Member {
        worker: entry.address.as_str().into(),
        state: entry.state,
        started: entry.started.map_or(0, |wall| to_monotonic(wall).max(1)),
        hint: entry.size,
        kind: entry.kind,
        zone: entry.zone,
        cell: entry.cell,
    }
}
