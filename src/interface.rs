//! The interface between a front end and its [`Controller`](crate::Controller): settings, ids, events and
//! actions. Plain data; all times are microseconds on the caller's clock.

use std::fmt;
use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);
        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Identifies a worker; stays the same when its process restarts.
    WorkerId
);
text_id!(
    /// Identifies a function.
    FunctionId
);

/// Identifies one request of a client. A client that tries again sends a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The set of workers that share deduplication of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// Workers in the zone of the first attempt.
    Zone,
    /// Workers in the cell of the first attempt.
    Cell,
}

/// Whether a request may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be repeated and refused at any time.
    Safe,
    /// Workers of `group` deduplicate repeats for `window` after the first send.
    Keyed {
        /// Workers that share the record of keys.
        group: Group,
        /// How long keys are remembered.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full value.
    pub aim: Micros,
    /// How long a client waits in total.
    pub deadline: Micros,
    /// Whether a request may be repeated once an attempt may have run.
    pub repeat: Repeat,
    /// Value of one answer in time.
    pub value: f64,
    /// Share of the value that a late answer earns.
    pub late_value: f64,
}

impl Class {
    /// A class of value 1 whose late answers earn nothing.
    pub fn new(aim: Micros, deadline: Micros, repeat: Repeat) -> Self {
        Self { aim, deadline, repeat, value: 1.0, late_value: 0.0 }
    }
}

/// Properties of copies and of loading them.
#[derive(Clone, Debug, PartialEq)]
pub struct CopySettings {
    /// Memory of each kind of worker, MB.
    pub kind_memory_mb: Vec<f64>,
    /// If true, a worker without a copy loads one while the request waits; if false, it answers `Miss`.
    pub load_on_miss: bool,
    /// `Load` and `Drop` are allowed.
    pub orders: bool,
    /// A `Load` that is not answered within this time ends as `Timeout`.
    pub order_timeout: Micros,
    /// An idle copy stays loaded at least this long.
    pub keep_alive: Micros,
    /// Window of the rate limit for load orders; 0 for no limit.
    pub load_window: Micros,
    /// Orders allowed in each window regardless of requests.
    pub load_free: f64,
    /// Further orders allowed for each request received in the window.
    pub load_share: f64,
}

/// What the front end supports and allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Several attempts of a request may be in flight at the same time.
    pub concurrent_attempts: bool,
    /// `Cancel` is allowed.
    pub cancel: bool,
    /// `Probe` is allowed.
    pub probes: bool,
    /// A refusal carries the time after which the client may retry.
    pub retry_after: bool,
    /// The longest such time that clients honour.
    pub max_retry_after: Micros,
}

/// Timing and capacity parameters of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Micros,
    /// Share of its capacity that a worker is guaranteed to have when it has just started. Must be above 0; values
    /// above 1 count as 1.
    pub cold_from: f64,
    /// Time after its start at which a worker has its full capacity.
    pub warm_within: Micros,
    /// A cold worker fails if it is sent more than this multiple of its current capacity for `overload_span`.
    pub overload_multiple: f64,
    /// How long a cold worker withstands such an overload.
    pub overload_span: Micros,
    /// No new work may begin at a worker later than this after the scheduler was notified, or is deemed notified, that
    /// the worker drains or is gone; `None` if the settings set no such limit.
    pub drain_grace: Option<Micros>,
    /// Upper bound on the time between sending a request and its complete arrival at the worker, as it may wait for a
    /// connection; 0 if the rules count from sending.
    pub send_delay: Micros,
}

/// Settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Share of each tenant in requests per second, over all schedulers; empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request over its tenant's share, as a fraction of the value of its class.
    pub over_share_value: f64,
    /// Properties of copies and of loading them.
    pub copies: CopySettings,
    /// What the front end supports and allows.
    pub limits: Limits,
    /// Timing and capacity parameters.
    pub rules: Rules,
    /// Names of the values in load reports.
    pub report_names: Vec<String>,
    /// Number of schedulers, this one included.
    pub schedulers: u32,
    /// This scheduler's index among them, from 0.
    pub self_index: u32,
    /// The zone in which this scheduler runs.
    pub zone: usize,
    /// Cost of sending a request to another zone, as a share of its value.
    pub cross_zone: f64,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// The list of workers is sent only after [`Action::Watch`].
    pub needs_watch: bool,
}

impl Settings {
    /// Settings for a single scheduler with all features allowed and moderate parameters. `kind_memory_mb` is the
    /// memory of each kind of worker, MB.
    pub fn new(classes: Vec<Class>, kind_memory_mb: Vec<f64>) -> Self {
        Self {
            classes,
            tenant_quotas: Vec::new(),
            over_share_value: 1.0,
            copies: CopySettings {
                kind_memory_mb,
                load_on_miss: false,
                orders: true,
                order_timeout: 10_000_000,
                keep_alive: 10_000_000,
                load_window: 0,
                load_free: 0.0,
                load_share: 0.0,
            },
            limits: Limits {
                attempts: 3,
                concurrent_attempts: true,
                cancel: true,
                probes: true,
                retry_after: false,
                max_retry_after: 1_000_000,
            },
            rules: Rules {
                answer_slack: 8_000,
                cold_from: 0.2,
                warm_within: 15_000_000,
                overload_multiple: 3.0,
                overload_span: 2_000_000,
                drain_grace: None,
                send_delay: 0,
            },
            report_names: Vec::new(),
            schedulers: 1,
            self_index: 0,
            zone: 0,
            cross_zone: 0.0,
            tick: 1_000,
            needs_watch: false,
        }
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// The first problem found; see [`SettingsError`].
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        for (index, class) in self.classes.iter().enumerate() {
            if class.aim == 0 || class.deadline == 0 {
                return Err(SettingsError::ClassTimes(index));
            }
            if !(class.value.is_finite() && class.value >= 0.0 && class.late_value.is_finite()) {
                return Err(SettingsError::ClassValue(index));
            }
        }
        if self.copies.kind_memory_mb.is_empty() {
            return Err(SettingsError::NoKind);
        }
        if let Some(kind) = self.copies.kind_memory_mb.iter().position(|&mb| !positive(mb)) {
            return Err(SettingsError::KindMemory(kind));
        }
        let figures = [
            ("attempts", self.limits.attempts > 0),
            ("schedulers", self.schedulers > 0),
            ("keep", self.copies.keep_alive > 0),
            ("cold_from", positive(self.rules.cold_from)),
            ("tip_multiple", positive(self.rules.overload_multiple)),
            ("fall", self.rules.overload_span > 0),
            ("load_free", self.copies.load_free.is_finite() && self.copies.load_free >= 0.0),
            ("cross_zone", self.cross_zone.is_finite() && self.cross_zone >= 0.0),
            ("load_share", self.copies.load_share.is_finite() && self.copies.load_share >= 0.0),
            ("tenant_quotas", self.tenant_quotas.iter().all(|q| q.is_finite() && *q >= 0.0)),
        ];
        match figures.iter().find(|(_, usable)| !usable) {
            Some((name, _)) => Err(SettingsError::Figure(name)),
            None => Ok(()),
        }
    }
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no request class.
    NoClass,
    /// This class has an aim or a deadline of zero.
    ClassTimes(usize),
    /// This class's value is negative, or one of its values is not a finite number.
    ClassValue(usize),
    /// There is no kind of worker.
    NoKind,
    /// This kind's memory is not above zero.
    KindMemory(usize),
    /// The named setting is out of range.
    Figure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClass => write!(f, "settings define no request class"),
            Self::ClassTimes(i) => write!(f, "class {i}: aim and deadline must be above zero"),
            Self::ClassValue(i) => write!(f, "class {i}: worth must be a number, zero or more"),
            Self::NoKind => write!(f, "settings define no kind of worker"),
            Self::KindMemory(i) => write!(f, "kind {i}: memory must be above zero"),
            Self::Figure(name) => write!(f, "setting {name} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A worker's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts work.
    Active,
    /// Finishes its work and accepts nothing new.
    Leaving,
    /// Removed.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// Time of its last start; 0 if it is long past.
    pub started: Micros,
    /// Reported relative capacity, comparable between workers.
    pub hint: f64,
    /// Its kind, an index into [`CopySettings::kind_memory_mb`].
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
}

impl Member {
    /// An active, fully warm worker of the first kind, zone and cell, with a hint of 1.
    pub fn active(name: &str) -> Self {
        let (worker, state) = (name.into(), WorkerState::Active);
        Self { worker, state, started: 0, hint: 1.0, kind: 0, zone: 0, cell: 0 }
    }
}

/// How the entries of a list update apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembersKind {
    /// Changed entries only.
    Changes,
    /// The complete list; workers missing from it are gone.
    Whole,
    /// The complete list as last stored, possibly out of date.
    Stale,
    /// The list could not be read; the previous one remains in force.
    Failed,
}

/// How up to date the list of workers is; times are on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// The list has not been confirmed complete since the start.
    Unconfirmed {
        /// When the initial list was read.
        since: Micros,
    },
    /// The list is being followed.
    Current {
        /// Time at which changes missing from the list are deemed announced if nothing more is received.
        announced_at: Micros,
    },
    /// The source of the list is unreachable.
    Interrupted {
        /// Time at which changes missing from the list are deemed announced.
        announced_at: Micros,
    },
}

/// A received request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its tenant, 0 without tenants.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// The function called.
    pub function: FunctionId,
    /// Time until the client gives up on this request.
    pub client_timeout: Micros,
    /// Memory of one copy, MB.
    pub memory_mb: f64,
    /// Requests that one copy runs concurrently.
    pub lanes: u32,
    /// Typical duration of a load, if known.
    pub load_time: Option<Micros>,
}

impl Request {
    /// A request of the first class and tenant, whose client gives up after `patience` microseconds.
    pub fn new(id: u64, function: &str, memory_mb: f64, lanes: u32, patience: Micros) -> Self {
        let function = function.into();
        Self {
            id: RequestId(id),
            tenant: 0,
            class: 0,
            function,
            client_timeout: patience,
            memory_mb,
            lanes,
            load_time: None,
        }
    }
}

/// The result of an attempt, a probe or a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Served; for an order: the copies are loaded.
    Ok,
    /// An error; may have run.
    Error,
    /// Rejected before execution, as the worker is full or drains; never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection could be established; never ran.
    ConnectFailed,
    /// The connection was lost; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// No copy on the worker; never ran.
    Miss,
    /// A code that this version does not support; may have run.
    Unknown,
}

impl Code {
    /// Whether this code proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// The state of the copy as reported with an outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CopyStatus {
    /// Not reported.
    Unknown,
    /// A copy was already loaded.
    Loaded,
    /// This request started a load.
    LoadStarted,
    /// This request waited for a load that was already under way.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// The debug text is part of the call records, whose words are fixed.
impl fmt::Debug for CopyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "Untold",
            Self::Loaded => "Stood",
            Self::LoadStarted => "Began",
            Self::WaitedForLoad => "Waited",
            Self::LoadFailed => "LoadFailed",
        })
    }
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: usize,
    /// The worker.
    pub worker: WorkerId,
    /// The outcome.
    pub code: Code,
    /// Time since the send.
    pub latency: Micros,
    /// The request is finished; no answer is pending any more.
    pub is_final: bool,
    /// State of the copy.
    pub copy: CopyStatus,
    /// Number of requests for the same function at the worker when this one arrived, if reported.
    pub crowd: Option<u32>,
    /// Load report, in the order of [`Settings::report_names`].
    pub report: Vec<f64>,
}

/// Input of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of workers.
    Members {
        /// How the entries apply.
        kind: MembersKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// How up to date the list is from now on. If this event never occurs, the list counts as up to date.
    ListFreshness(ListFreshness),
    /// The last connection to a worker was lost, or none could be established: the worker may have restarted by the
    /// time it answers next.
    Disconnected {
        /// The worker.
        worker: WorkerId,
    },
    /// A request was received. It must get exactly one final answer.
    Request(Request),
    /// An attempt's answer has begun to stream.
    AnswerStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected; no answer is expected any more.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// The result.
        code: Code,
        /// Time since the probe.
        latency: Micros,
        /// Load report.
        report: Vec<f64>,
    },
    /// A load order has ended.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of loaded copies.
        count: u32,
        /// The result.
        code: Code,
        /// Time since the order.
        latency: Micros,
    },
    /// A message from another scheduler.
    Peer {
        /// Index of the scheduler.
        from: usize,
        /// The message.
        payload: Vec<u8>,
    },
}

/// Output of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The target.
        worker: WorkerId,
        /// When to abandon the attempt; `None` for the client's timeout.
        until: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry.
        wait: Option<Micros>,
    },
    /// Final answer: failed; the request may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer, which ends in an [`Event::Timer`].
    Timer {
        /// Time from now.
        after: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Have at least `count` copies loaded; 0 only queries the number of loaded copies.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of copies.
        count: u32,
    },
    /// Unload the function's idle copies.
    Drop {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Subscribe to changes of the list of workers.
    Watch,
}
