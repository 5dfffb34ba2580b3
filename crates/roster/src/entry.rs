use basaltward::{Member, Micros, State};

/// One worker as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its address, which also names it.
    pub address: String,
    /// Its state.
    pub state: State,
    /// When it last started, microseconds since 1970; `None` for long ago.
    pub started: Option<Micros>,
    /// Position of its kind.
    pub kind: usize,
    /// Position of its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// Told size.
    pub size: f64,
}

/// Names that entries may use, by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Kinds of worker.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// An entry as the module reads it; `on_clock` places a wall time on the loop's clock. The module takes 0 for
/// long ago, so a start that the clock does not reach back to is placed at 1.
pub fn to_member(entry: &Entry, on_clock: impl Fn(Micros) -> Micros) -> Member {
    Member {
        worker: entry.address.as_str().into(),
        state: entry.state,
        started: entry.started.map_or(0, |wall| on_clock(wall).max(1)),
        hint: entry.size,
        kind: entry.kind,
        zone: entry.zone,
        cell: entry.cell,
    }
}
