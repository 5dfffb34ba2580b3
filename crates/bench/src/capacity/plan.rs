//! The size that the capacity page is computed for: the users' plan, assumptions about what the plan leaves open, and
//! how the budget of a scheduler is divided among roles. Every variable of every formula on the page is a field here.

/// The users' plan: figures that the users stated, no assumptions.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Scheduler processes.
    pub schedulers: f64,
    /// Instances of functions that are loaded at one time.
    pub instances: f64,
    /// Functions.
    pub functions: f64,
    /// Calls a second, over the whole fleet.
    pub calls_per_s: f64,
    /// Most functions are called less often than this many times a second, which is once a minute.
    pub rare_calls_per_s: f64,
    /// 99 in 100 cold starts are answered within this many seconds.
    pub cold_start_s: f64,
    /// Regions.
    pub regions: f64,
    /// Zones, over all regions.
    pub zones: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// A change is in force everywhere within this many seconds.
    pub change_in_force_s: f64,
    /// Share of one core that a scheduler may spend on control.
    pub core_share: f64,
    /// Memory that a scheduler may spend on control, bytes.
    pub memory_bytes: f64,
    /// Bytes a second that a scheduler may spend on control.
    pub bytes_per_s: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced in a day.
    pub restarts_per_day: f64,
}

impl Plan {
    /// The figures as the users stated them.
    pub const USERS: Self = Self {
        schedulers: 1_900.0,
        instances: 310_000.0,
        functions: 38_000.0,
        calls_per_s: 240_000.0,
        rare_calls_per_s: 1.0 / 60.0,
        cold_start_s: 0.48,
        regions: 2.0,
        zones: 7.0,
        changes_per_day: 6_300.0,
        change_in_force_s: 9.0,
        core_share: 0.029,
        memory_bytes: 128e6,
        bytes_per_s: 9_000.0,
        control_machines: 9.0,
        failures_per_day: 5.0,
        restarts_per_day: 220.0,
    };

    /// Calls a second that one scheduler receives.
    pub fn calls_per_scheduler(&self) -> f64 {
        self.calls_per_s / self.schedulers
    }

    /// Processor time that a scheduler may spend on control, microseconds a second.
    pub fn processor_us_per_s(&self) -> f64 {
        self.core_share * 1e6
    }

    /// Changes of configuration a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Rows of the page's table: name, value, unit.
    pub fn rows(&self) -> Vec<(&'static str, f64, &'static str)> {
        vec![
            ("schedulers", self.schedulers, "processes"),
            ("instances", self.instances, "instances of functions"),
            ("functions", self.functions, "functions, most called less than once a minute"),
            ("calls_per_s", self.calls_per_s, "calls a second, whole fleet"),
            ("cold_start_s", self.cold_start_s, "s, for 99 in 100 cold starts"),
            ("regions", self.regions, "regions"),
            ("zones", self.zones, "zones, over all regions"),
            ("changes_per_day", self.changes_per_day, "changes of configuration a day"),
            ("change_in_force_s", self.change_in_force_s, "s until a change is in force everywhere"),
            ("core_share", self.core_share, "of a core, for control, a scheduler"),
            ("memory_bytes", self.memory_bytes, "bytes, for control, a scheduler"),
            ("bytes_per_s", self.bytes_per_s, "bytes a second, for control, a scheduler"),
            ("control_machines", self.control_machines, "machines set aside for control"),
            ("failures_per_day", self.failures_per_day, "machines that fail on an ordinary day"),
            ("restarts_per_day", self.restarts_per_day, "machines restarted or replaced a day"),
        ]
    }
}

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// Assumptions about what the plan leaves open. The sensitivity analysis varies them one at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Assumptions {
    /// Workers of the fleet.
    pub workers: f64,
    /// Exponent by which calls fall with a function's rank; `None` for the smallest exponent with which the median
    /// function is called less often than [`Plan::rare_calls_per_s`].
    pub skew: Option<f64>,
    /// How long an unused instance stays loaded, seconds.
    pub keep_s: f64,
    /// Mean time from an instance's start to its end, seconds.
    pub instance_life_s: f64,
    /// One-way delay inside a zone, seconds.
    pub hop_zone_s: f64,
    /// One-way delay between zones, seconds.
    pub hop_zones_s: f64,
    /// One-way delay between regions, seconds.
    pub hop_regions_s: f64,
    /// Share of a cold start's time that control may take.
    pub cold_control_share: f64,
    /// Time in which a starting scheduler has to receive the state that it needs, seconds.
    pub start_s: f64,
    /// Time in which members have to agree after a start, a death or a healed partition, seconds.
    pub settle_s: f64,
    /// Pairs of class and tenant that admission control distinguishes.
    pub pairs: f64,
    /// Share of calls whose events are stored in journals.
    pub kept_share: f64,
    /// Bytes of a change of configuration.
    pub change_bytes: f64,
    /// How often one worker starts in a day.
    pub worker_starts_per_day: f64,
    /// How long the restart of a scheduler holds its permit, seconds.
    pub permit_s: f64,
    /// Number of hours over which the restarts of a day are spread.
    pub restart_hours: f64,
    /// Cores of a control machine that control may use.
    pub control_cores: f64,
    /// Bytes a second that a control machine may send.
    pub control_bytes_per_s: f64,
}

impl Assumptions {
    /// The middle of the range that is considered likely.
    pub const USUAL: Self = Self {
        workers: 5_000.0,
        skew: None,
        keep_s: 600.0,
        instance_life_s: 1_800.0,
        hop_zone_s: 0.000_3,
        hop_zones_s: 0.001_5,
        hop_regions_s: 0.060,
        cold_control_share: 0.1,
        start_s: 60.0,
        settle_s: 5.0,
        pairs: 12.0,
        kept_share: 0.05,
        change_bytes: 1_000.0,
        worker_starts_per_day: 1.0,
        permit_s: 60.0,
        restart_hours: 8.0,
        control_cores: 4.0,
        control_bytes_per_s: 60e6,
    };

    /// The same assumptions with the skew computed, so that it need not be searched for again, which is slow.
    pub fn resolved(&self, plan: &Plan) -> Self {
        Self { skew: Some(self.skew(plan)), ..self.clone() }
    }

    /// The exponent by which calls fall with a function's rank: as given, or the smallest with which the function of
    /// median rank is called less often than the plan states for most functions.
    pub fn skew(&self, plan: &Plan) -> f64 {
        if let Some(given) = self.skew {
            return given;
        }
        let median_calls_per_s =
            |skew: f64| plan.calls_per_s * (plan.functions / 2.0).powf(-skew) / weight_sum(plan, skew);
        let (mut low, mut high) = (0.0, 4.0);
        for _ in 0..50 {
            let skew = (low + high) / 2.0;
            if median_calls_per_s(skew) > plan.rare_calls_per_s { low = skew } else { high = skew }
        }
        high
    }

    /// Functions that one scheduler holds: those called there within four times [`Self::keep_s`], after which it
    /// forgets a function.
    pub fn functions_held(&self, plan: &Plan) -> f64 {
        let (skew, span) = (self.skew(plan), self.keep_s * 4.0);
        let calls = plan.calls_per_scheduler() * span / weight_sum(plan, skew);
        let held = |rank: u64| 1.0 - (-calls * (rank as f64).powf(-skew)).exp();
        (1..=plan.functions as u64).map(held).sum()
    }

    /// Share of a scheduler's calls for a function of which it knows no copy, because none was called there for
    /// [`Self::keep_s`].
    pub fn new_share(&self, plan: &Plan) -> f64 {
        let skew = self.skew(plan);
        let calls = plan.calls_per_scheduler() / weight_sum(plan, skew);
        let rate = |rank: u64| calls * (rank as f64).powf(-skew);
        let new = |rank: u64| rate(rank) * (-rate(rank) * self.keep_s).exp();
        (1..=plan.functions as u64).map(new).sum::<f64>() / plan.calls_per_scheduler()
    }

    /// Instances that start in a second; as many end.
    pub fn starts_per_s(&self, plan: &Plan) -> f64 {
        plan.instances / self.instance_life_s
    }

    /// Rows of the page's table: name, value, unit.
    pub fn rows(&self, plan: &Plan) -> Vec<(&'static str, f64, &'static str)> {
        vec![
            ("workers", self.workers, "workers"),
            (
                "instances_per_worker",
                plan.instances / self.workers,
                "instances a worker (instances / workers)",
            ),
            (
                "skew",
                self.skew(plan),
                "calls fall as rank to this power; the smallest value for which the median function is called less \
                 than once a minute",
            ),
            (
                "functions_held",
                self.functions_held(plan),
                "functions that one scheduler holds, from calls, skew and keep_s",
            ),
            (
                "new_share",
                self.new_share(plan),
                "of a scheduler's calls are of a function of which no copy is known, from calls, skew and keep_s",
            ),
            ("keep_s", self.keep_s, "s that an unused instance is kept"),
            ("instance_life_s", self.instance_life_s, "s from an instance's start to its end, mean"),
            ("hop_zone_s", self.hop_zone_s, "s one way inside a zone"),
            ("hop_zones_s", self.hop_zones_s, "s one way between zones"),
            ("hop_regions_s", self.hop_regions_s, "s one way between regions"),
            ("cold_control_share", self.cold_control_share, "of a cold start's time that control may take"),
            ("start_s", self.start_s, "s until a scheduler that starts has what it needs"),
            ("settle_s", self.settle_s, "s until members agree after a start, a death, a healed partition"),
            ("pairs", self.pairs, "pairs of class and tenant, counted separately"),
            ("kept_share", self.kept_share, "of calls are kept in journals"),
            ("change_bytes", self.change_bytes, "bytes of a change of configuration"),
            ("worker_starts_per_day", self.worker_starts_per_day, "starts of one worker a day"),
            ("permit_s", self.permit_s, "s that a restart holds its permit"),
            ("restart_hours", self.restart_hours, "hours of a day in which its restarts fall"),
            ("control_cores", self.control_cores, "cores of a control machine for control"),
            (
                "control_bytes_per_s",
                self.control_bytes_per_s,
                "bytes a second that a control machine may send",
            ),
        ]
    }
}

fn weight_sum(plan: &Plan, skew: f64) -> f64 {
    (1..=plan.functions as u64).map(|rank| (rank as f64).powf(-skew)).sum()
}

/// A part of the program with its own state and cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The scheduler's decision module.
    Module,
    /// The directory of the workers on which instances are loaded.
    Directory,
    /// The view of which schedulers are members and live.
    Membership,
    /// Permits to take a scheduler or worker out of use.
    Permits,
    /// Admission control, which refuses calls under overload.
    Admission,
    /// Routing of calls between sites.
    Routing,
    /// Journals of stored events.
    Journals,
    /// Distribution of configuration changes.
    Configuration,
    /// The watch on the list of workers.
    Watch,
    /// The machines set aside for control.
    ControlMachines,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Self; 10] = [
        Self::Module,
        Self::Directory,
        Self::Membership,
        Self::Permits,
        Self::Admission,
        Self::Routing,
        Self::Journals,
        Self::Configuration,
        Self::Watch,
        Self::ControlMachines,
    ];

    /// The name of the role on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Module => "scheduler's decision module",
            Self::Directory => "directory of instances",
            Self::Membership => "membership view",
            Self::Permits => "permits by quorum",
            Self::Admission => "admission control",
            Self::Routing => "routing between sites",
            Self::Journals => "journals of kept events",
            Self::Configuration => "configuration",
            Self::Watch => "watch of the worker list",
            Self::ControlMachines => "the control machines",
        }
    }

    /// The share of a scheduler's control budget that this role gets. These shares are a design choice of the page; for
    /// each resource they sum to 1.
    pub fn share(self) -> Share {
        let share = |processor, memory, bandwidth| Share { processor, memory, bandwidth };
        match self {
            Self::Module => share(0.70, 0.50, 0.00),
            Self::Directory => share(0.06, 0.25, 0.35),
            Self::Membership => share(0.10, 0.03, 0.22),
            Self::Permits => share(0.01, 0.01, 0.05),
            Self::Admission => share(0.03, 0.03, 0.08),
            Self::Routing => share(0.03, 0.04, 0.08),
            Self::Journals => share(0.03, 0.08, 0.12),
            Self::Configuration => share(0.01, 0.03, 0.05),
            Self::Watch => share(0.02, 0.03, 0.05),
            Self::ControlMachines => share(0.01, 0.00, 0.00),
        }
    }
}

/// Shares of a scheduler's budget, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Share of the processor time.
    pub processor: f64,
    /// Share of the memory.
    pub memory: f64,
    /// Share of the bytes a second.
    pub bandwidth: f64,
}
