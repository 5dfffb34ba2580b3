//! What passes between a front end and its [`Controller`](crate::Controller): settings, ids, events and
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
            /// The id as it was told.
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
    /// Names a worker; stays the same when its process restarts.
    WorkerId
);
text_id!(
    /// Names a function.
    FunctionId
);

/// Names one try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which workers drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// Those in the zone of the worker first tried.
    Zone,
    /// Those in the cell of the worker first tried.
    Cell,
}

/// What a class allows once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be repeated and refused freely.
    Safe,
    /// Repeats are dropped by `group` for `window` after the first send.
    Keyed {
        /// Workers that share the memory of keys.
        group: Group,
        /// How long they remember.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// What may be done once an attempt may have run.
    pub repeat: Repeat,
    /// Worth of one answer in time.
    pub value: f64,
    /// Share of the worth that a late answer earns.
    pub late_value: f64,
}

impl Class {
    /// A class of worth 1 whose late answers earn nothing.
    pub fn new(aim: Micros, deadline: Micros, repeat: Repeat) -> Self {
        Self { aim, deadline, repeat, value: 1.0, late_value: 0.0 }
    }
}

/// Facts about copies and loads.
#[derive(Clone, Debug, PartialEq)]
pub struct CopySettings {
    /// Memory of each kind of worker, MB.
    pub kind_memory_mb: Vec<f64>,
    /// A worker lacking the function loads it while the request waits; else it answers `Miss`.
    pub load_on_miss: bool,
    /// `Load` and `Drop` are allowed.
    pub orders: bool,
    /// A `Load` unanswered by then ends as `Timeout`.
    pub order_timeout: Micros,
    /// An idle copy stays at least this long.
    pub keep_alive: Micros,
    /// Window of the ration of load orders; 0 when there is none.
    pub load_window: Micros,
    /// Orders free in each window.
    pub load_free: f64,
    /// Further orders for each request taken in the window.
    pub load_share: f64,
}

/// What the front end permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most attempts of one request.
    pub attempts: u32,
    /// Two attempts of a request may be out together.
    pub concurrent_attempts: bool,
    /// `Cancel` is allowed.
    pub cancel: bool,
    /// `Probe` is allowed.
    pub probes: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest stay that they honour.
    pub max_retry_after: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Micros,
    /// A started worker has at least this share of its capacity.
    pub cold_from: f64,
    /// And all of it after this span.
    pub warm_within: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this span, a cold worker falls over.
    pub overload_span: Micros,
    /// Nothing new may begin at a worker later than this after it was told, or counts as told, that the worker drains
    /// or is gone; `None` where the settings state no such rule.
    pub drain_grace: Option<Micros>,
    /// What is sent may come whole to its worker so much later, as it waits for a connection; 0 where the rules count
    /// from sending.
    pub send_delay: Micros,
}

/// Everything a controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Requests a second within each tenant's share, over all schedulers; empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Worth of a request past its tenant's share, as a share of its class's.
    pub over_share_value: f64,
    /// Copies and loads.
    pub copies: CopySettings,
    /// Permissions.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Names of the values in load reports.
    pub report_names: Vec<String>,
    /// Number of schedulers, this one included.
    pub schedulers: u32,
    /// This scheduler's number among them, from 0.
    pub self_index: u32,
    /// The zone this scheduler stands in.
    pub zone: usize,
    /// What sending a request to another zone costs, as a share of its worth.
    pub cross_zone: f64,
    /// Shortest gap between two batches of events.
    pub tick: Micros,
    /// The list of workers comes only when asked for.
    pub needs_watch: bool,
}

impl Settings {
    /// Settings for one scheduler that may do everything, with mild figures for the rules.
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

    /// Checks that the settings can be decided by.
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
                return Err(SettingsError::ClassWorth(index));
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

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class of requests.
    NoClass,
    /// This class has an aim or a deadline of zero.
    ClassTimes(usize),
    /// This class's worth is negative or not a number.
    ClassWorth(usize),
    /// There is no kind of worker.
    NoKind,
    /// This kind's memory is not above zero.
    KindMemory(usize),
    /// The named figure is out of range.
    Figure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClass => write!(f, "settings name no request class"),
            Self::ClassTimes(i) => write!(f, "class {i}: aim and deadline must be above zero"),
            Self::ClassWorth(i) => write!(f, "class {i}: worth must be a number, zero or more"),
            Self::NoKind => write!(f, "settings name no kind of worker"),
            Self::KindMemory(i) => write!(f, "kind {i}: memory must be above zero"),
            Self::Figure(name) => write!(f, "setting {name} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A worker's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    Active,
    /// Finishes its work and takes nothing new.
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
    /// When it last started; 0 for long ago.
    pub started: Micros,
    /// Told size, comparable between workers.
    pub hint: f64,
    /// Its kind, a position in [`Family::kind_memory_mb`].
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
}

impl Member {
    /// A worker in use, long started, of the first kind, zone and cell, of a size like the others'.
    pub fn active(name: &str) -> Self {
        let (worker, state) = (name.into(), WorkerState::Active);
        Self { worker, state, started: 0, hint: 1.0, kind: 0, zone: 0, cell: 0 }
    }
}

/// How a list of workers is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembersKind {
    /// Changed entries only.
    Changes,
    /// The whole list; who is missing is gone.
    Whole,
    /// The whole list as last held, perhaps out of date.
    Stale,
    /// The list could not be had; the previous one stands.
    Failed,
}

/// How far the list of workers is to be believed; times are the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// Since the start nothing has shown that the list is complete.
    Unconfirmed {
        /// When the list of the start was taken.
        since: Micros,
    },
    /// The list is followed.
    Current {
        /// When all that it is missing counts as told, should nothing more be heard.
        announced_at: Micros,
    },
    /// The source of the list is out of reach.
    Interrupted {
        /// When all that it is missing counts as told.
        announced_at: Micros,
    },
}

/// A request that has landed.
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
    /// How long until the client gives up on this try.
    pub client_timeout: Micros,
    /// Memory of one copy, MB.
    pub memory_mb: f64,
    /// Requests that one copy runs at once.
    pub lanes: u32,
    /// How long a load usually takes, where told.
    pub load_time: Option<Micros>,
}

impl Request {
    /// A request of the first class and tenant.
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

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Served; for an order: the copies stand.
    Ok,
    /// An error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// Nothing heard in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// No copy there; never ran.
    Miss,
    /// A code this version does not know; may have run.
    Unknown,
}

impl Code {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// What an outcome tells of the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStatus {
    /// Nothing was told.
    Unknown,
    /// A copy stood loaded.
    Loaded,
    /// This request began a load.
    LoadStarted,
    /// It waited for a load begun before.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// How an attempt ended.
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
    /// The request is finished.
    pub is_final: bool,
    /// What became of the copy.
    pub copy: CopyStatus,
    /// Requests for the same function that the worker held on arrival, where told.
    pub crowd: Option<u32>,
    /// Load report, in the order of [`Settings::report_names`].
    pub report: Vec<f64>,
}

/// What a controller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of workers.
    Members {
        /// How to read it.
        kind: MembersKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// How far the list is to be believed from now on. Where it is never told, the list is believed for ever.
    ListFreshness(ListFreshness),
    /// The last connection to a worker has ended by itself, or none could be had: its process may be another one when
    /// it answers next.
    Disconnected {
        /// The worker.
        worker: WorkerId,
    },
    /// A request has landed; one final answer is owed.
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
    /// The client has left; nothing is owed any more.
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
        /// How.
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
        /// Copies standing.
        count: u32,
        /// How it ended.
        code: Code,
        /// Time since the order.
        latency: Micros,
    },
    /// A message from another scheduler.
    Peer {
        /// Its number.
        from: usize,
        /// The bytes.
        payload: Vec<u8>,
    },
}

/// What a controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// When to drop it; `None` for the client's patience.
        until: Option<Micros>,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: turned away, trying again does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        wait: Option<Micros>,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// How far from now.
        after: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Have at least `count` copies held; 0 only asks.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How many.
        count: u32,
    },
    /// Have the function's idle copies unloaded.
    Drop {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Subscribe to changes of the list of workers.
    Watch,
}
