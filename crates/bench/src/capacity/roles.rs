//! What each role needs at the plan's size: formulas in the variables of the plan, with slopes from measured points,
//! and the ratio of need to budget.

use super::fit::{Fit, fit};
use super::measure::FUNCTIONS_SUFFIX;
use super::plan::{Assumptions, DAY_S, Plan, Role};
use super::points::{Points, Reading};
use basaltward_membership::MembershipSettings;
use basaltward_permits::{MAX_PERMITS, PermitSettings};
use basaltward_site_routing::FunctionSpec;

/// How a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// Computed from the formula and constants of the code alone.
    Arithmetic,
    /// Computed from slopes that were measured up to this size.
    Measured,
    /// Computed from slopes that were measured at smaller sizes only.
    Extrapolated,
    /// No run is on record.
    NotRun,
}

impl Basis {
    /// The label on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Arithmetic => "arithmetic",
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::NotRun => "not run",
        }
    }
}

/// A resource that has a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Processor time, in microseconds a second.
    Processor,
    /// Memory, in bytes.
    Memory,
    /// Network traffic, in bytes a second.
    Bandwidth,
    /// Time, in seconds.
    Time,
    /// Number of machines.
    Machines,
    /// A limit set by a constant of the code. A need over it is reported, but it is not a budget of the plan and does
    /// not count in the decision.
    Bound,
}

impl Resource {
    /// The name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor, us/s",
            Self::Memory => "memory, bytes",
            Self::Bandwidth => "bytes/s",
            Self::Time => "time, s",
            Self::Machines => "machines",
            Self::Bound => "bound in the code",
        }
    }
}

/// A fitted slope from which a need is computed.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// The file and series that were fitted.
    pub series: String,
    /// The fit with its standard errors, as text.
    pub text: String,
    /// The command that measured the series.
    pub command: String,
}

/// One need of a role: a line of its section.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The resource that is needed.
    pub resource: Resource,
    /// Short description.
    pub what: &'static str,
    /// Formula in the variables of the plan and of the assumptions.
    pub formula: String,
    /// The need at the plan's size; `None` where a slope was not measured.
    pub value: Option<f64>,
    /// How the value was obtained.
    pub basis: Basis,
    /// The size divided by the largest measured size; 1 or less where the size was measured.
    pub extrapolation: f64,
    /// The slopes from which the value is computed.
    pub slopes: Vec<Slope>,
    /// The budget, in the unit of the value.
    pub budget: f64,
}

impl Need {
    /// The need divided by the budget.
    pub fn ratio(&self) -> Option<f64> {
        self.value.map(|value| value / self.budget)
    }

    /// The basis as the page labels it, with the factor of an extrapolation.
    pub fn label(&self) -> String {
        match self.basis {
            Basis::Extrapolated => {
                format!("extrapolated {} times past the largest run", figure(self.extrapolation))
            }
            basis => basis.name().into(),
        }
    }

    /// Whether the need counts in the decision.
    pub fn counts_in_decision(&self) -> bool {
        self.resource != Resource::Bound
    }
}

/// A mechanism that is not implemented yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Missing {
    /// Membership with full views inside a zone and summaries between zones.
    ZonedMembership,
    /// A directory in which few schedulers hold the entries of each function and others query them when needed.
    PartitionedDirectory,
    /// An index of candidate workers for a function, so that not all workers have to be ranked.
    CandidateIndex,
    /// Versioned configuration changes that are sent to all schedulers, with a report of those that are behind.
    VersionedConfiguration,
}

impl Missing {
    /// All mechanisms.
    pub const ALL: [Self; 4] = [
        Self::ZonedMembership,
        Self::PartitionedDirectory,
        Self::CandidateIndex,
        Self::VersionedConfiguration,
    ];

    /// The name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::ZonedMembership => {
                "membership by zones, whose delegates carry summaries and facts between zones"
            }
            Self::PartitionedDirectory => {
                "an instance directory split over the schedulers, queried on demand"
            }
            Self::CandidateIndex => {
                "a choice of candidates for a function before the ratios of all workers are \
            computed"
            }
            Self::VersionedConfiguration => "versioned configuration that is sent to all schedulers",
        }
    }

    /// The missing mechanisms that this one directly depends on.
    pub fn depends_on(self) -> &'static [Self] {
        match self {
            Self::ZonedMembership => &[],
            // The holders of a function's entries and the receivers of a change are chosen among the members.
            Self::PartitionedDirectory | Self::VersionedConfiguration => &[Self::ZonedMembership],
            // Candidates come from the directory.
            Self::CandidateIndex => &[Self::PartitionedDirectory],
        }
    }
}

/// The section of a role on the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// The role.
    pub role: Role,
    /// The state that the role holds.
    pub state: &'static str,
    /// The messages that it receives and sends.
    pub messages: &'static str,
    /// The needs of the role.
    pub needs: Vec<Need>,
    /// The mechanism that is implemented today.
    pub mechanism: &'static str,
    /// The missing mechanism that would replace it; `None` where none is needed.
    pub missing: Option<Missing>,
    /// Further remarks for the reader of the page.
    pub notes: Vec<String>,
}

impl Section {
    /// The need with the largest ratio, of those that count in the decision.
    pub fn largest_need(&self) -> Option<&Need> {
        let known = self.needs.iter().filter(|need| need.counts_in_decision() && need.value.is_some());
        known.max_by(|a, b| a.ratio().partial_cmp(&b.ratio()).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// The largest ratio of the role.
    pub fn ratio(&self) -> Option<f64> {
        self.largest_need().and_then(Need::ratio)
    }

    /// Whether every need is within its budget. `None` where the measured needs are, but others were not run.
    pub fn is_within_budget(&self) -> Option<bool> {
        if self.needs.iter().any(|need| need.ratio().is_some_and(|ratio| ratio > 1.0)) {
            return Some(false);
        }
        self.needs.iter().all(|need| need.value.is_some()).then_some(true)
    }
}

/// A fit with its description.
struct Fitted {
    fit: Fit,
    slope: Slope,
    /// True for a power law, fitted as a line through logarithms.
    is_power: bool,
}

impl Fitted {
    fn at(&self, x: &[f64]) -> f64 {
        if self.is_power {
            let logs: Vec<f64> = x.iter().map(|x| x.ln()).collect();
            return self.fit.at(&logs).exp();
        }
        self.fit.at(x)
    }

    /// The largest ratio of a regressor to its largest measured value.
    fn extrapolation(&self, x: &[f64]) -> f64 {
        let largest = self.fit.max_regressors.iter().map(|max| if self.is_power { max.exp() } else { *max });
        x.iter().zip(largest).map(|(x, largest)| x / largest.max(f64::MIN_POSITIVE)).fold(0.0, f64::max)
    }
}

/// Formats a number with about three significant digits and grouped thousands.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    let text = match size {
        _ if size == 0.0 => return "0".into(),
        _ if size >= 100.0 => format!("{value:.0}"),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => format!("{value:.4}"),
        _ => return format!("{value:.2e}"),
    };
    let (whole, rest) =
        text.split_once('.').map_or((text.as_str(), None), |(whole, rest)| (whole, Some(rest)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let rest = rest.map(|rest| format!(".{rest}")).unwrap_or_default();
    format!("{sign}{grouped}{rest}")
}

/// The capacity model: the plan, the assumptions and the measured points.
pub struct Model<'a> {
    /// The users' plan.
    pub plan: &'a Plan,
    /// Assumptions about what the plan leaves open.
    pub assumptions: &'a Assumptions,
    /// Measured points.
    pub points: &'a Points,
}

/// A value with its basis and the slopes from which it is computed.
struct Estimate {
    value: Option<f64>,
    basis: Basis,
    extrapolation: f64,
    slopes: Vec<Slope>,
}

/// Sizes up to a thousandth above the largest measured one count as measured.
const MAX_MEASURED_EXTRAPOLATION: f64 = 1.001;

impl Estimate {
    fn arithmetic(value: f64) -> Self {
        Self { value: Some(value), basis: Basis::Arithmetic, extrapolation: 0.0, slopes: Vec::new() }
    }

    /// Combines the values of fits, each evaluated at its point. There is no value where one of the fits is missing.
    fn from_fits<const N: usize>(
        fits: [(&Option<Fitted>, &[f64]); N],
        join: impl Fn([f64; N]) -> f64,
    ) -> Self {
        let mut values = [0.0; N];
        let (mut extrapolation, mut slopes) = (0.0, Vec::new());
        for (value, (fitted, x)) in values.iter_mut().zip(fits) {
            let Some(fitted) = fitted else {
                return Self { value: None, basis: Basis::NotRun, extrapolation, slopes };
            };
            *value = fitted.at(x);
            extrapolation = f64::max(extrapolation, fitted.extrapolation(x));
            slopes.push(fitted.slope.clone());
        }
        let basis =
            if extrapolation > MAX_MEASURED_EXTRAPOLATION { Basis::Extrapolated } else { Basis::Measured };
        Self { value: Some(join(values)), basis, extrapolation, slopes }
    }
}

/// Points of the `scale` command: members in virtual time.
pub const MEMBERSHIP: &str = "membership.csv";
/// Points of hollow members that run beside real processes.
pub const HOLLOW: &str = "hollow.csv";
/// Points of members in virtual time at small sizes, measured by this command.
pub const MEMBERSHIP_SMALL: &str = "membership-small.csv";

impl Model<'_> {
    /// The sections of all roles.
    pub fn sections(&self) -> Vec<Section> {
        Role::ALL.map(|role| self.section(role)).to_vec()
    }

    fn section(&self, role: Role) -> Section {
        match role {
            Role::Module => self.module(),
            Role::Directory => self.directory(),
            Role::Membership => self.membership(),
            Role::Permits => self.permits(),
            Role::Admission => self.admission(),
            Role::Routing => self.routing(),
            Role::Journals => self.journals(),
            Role::Configuration => self.configuration(),
            Role::Watch => self.watch(),
            Role::ControlMachines => self.control_machines(),
        }
    }

    // ---- fits --------------------------------------------------------------------------------------------

    fn slope(file: &str, series: &str, command: &str, fit: &Fit, names: &[&str], is_power: bool) -> Slope {
        let error = |at: usize| fit.errors.as_ref().map_or("?".into(), |errors| figure(errors[at]));
        let coefficient = |at: usize| format!("{} (se {})", figure(fit.coefficients[at]), error(at));
        let terms: Vec<String> =
            names.iter().enumerate().map(|(at, name)| format!("{} x {name}", coefficient(at + 1))).collect();
        let head = if is_power { "ln y = " } else { "" };
        let text = format!(
            "{head}{} + {}; {} points, relative residual {:.1}%",
            coefficient(0),
            terms.join(" + "),
            fit.points,
            fit.residual * 100.0
        );
        Slope { series: format!("{file}: {series}"), text, command: command.into() }
    }

    /// Sizes and values of a series, without points that did not settle, and the command that measured it.
    fn values(&self, file: &str, series: &str) -> Option<(Vec<(f64, f64)>, String)> {
        let points = self.points.series(file, series);
        let command = self.points.commands(file, series)?;
        Some((points.iter().filter_map(|point| Some((point.size, point.value()?))).collect(), command))
    }

    /// Fits a line to a series; `name` is the regressor's name in the description of the fit.
    fn line(&self, file: &str, series: &str, name: &str) -> Option<Fitted> {
        let (points, command) = self.values(file, series)?;
        let rows: Vec<Vec<f64>> = points.iter().map(|(size, _)| vec![*size]).collect();
        let values: Vec<f64> = points.iter().map(|(_, value)| *value).collect();
        let fit = fit(&rows, &values)?;
        let slope = Self::slope(file, series, &command, &fit, &[name], false);
        Some(Fitted { fit, slope, is_power: false })
    }

    /// Fits a power law to a series, as a line through logarithms: intercept and slope of the line, relative residual.
    pub fn power(&self, file: &str, series: &str) -> Option<(f64, f64, f64)> {
        let fitted = self.power_fit(file, series)?;
        Some((fitted.fit.coefficients[0], fitted.fit.coefficients[1], fitted.fit.residual))
    }

    fn power_fit(&self, file: &str, series: &str) -> Option<Fitted> {
        let (mut points, command) = self.values(file, series)?;
        points.retain(|(size, value)| *size > 0.0 && *value > 0.0);
        let rows: Vec<Vec<f64>> = points.iter().map(|(size, _)| vec![size.ln()]).collect();
        let values: Vec<f64> = points.iter().map(|(_, value)| value.ln()).collect();
        let mut fit = fit(&rows, &values)?;
        // The residual is that of the values, not of their logarithms.
        let squared_error = |(size, value): &(f64, f64)| (fit.at(&[size.ln()]).exp() / value - 1.0).powi(2);
        fit.residual = (points.iter().map(squared_error).sum::<f64>() / points.len() as f64).sqrt();
        let slope = Self::slope(file, series, &command, &fit, &["ln members"], true);
        Some(Fitted { fit, slope, is_power: true })
    }

    /// Fits a series of the decision module over workers and functions held. The cost of calls for functions that are
    /// not held, which rank all workers, is measured by a series of its own.
    fn plane(&self, series: &str) -> Option<Fitted> {
        let file = "module.csv";
        let start = format!("{series}{FUNCTIONS_SUFFIX}");
        let (mut rows, mut values, mut command) = (Vec::new(), Vec::new(), String::new());
        for name in self.points.names(file) {
            let Some(functions) = name.strip_prefix(&start).and_then(|of| of.parse::<f64>().ok()) else {
                continue;
            };
            for point in self.points.series(file, name) {
                rows.push(vec![point.size, functions]);
                values.push(point.value()?);
                command.clone_from(&point.command);
            }
        }
        let fit = fit(&rows, &values)?;
        let slope = Self::slope(file, series, &command, &fit, &["workers", "functions_held"], false);
        Some(Fitted { fit, slope, is_power: false })
    }

    fn need(
        &self,
        resource: Resource,
        what: &'static str,
        formula: &str,
        value: Estimate,
        budget: f64,
    ) -> Need {
        let Estimate { value, basis, extrapolation, slopes } = value;
        Need { resource, what, formula: formula.into(), value, basis, extrapolation, slopes, budget }
    }

    /// The part of a scheduler's budget that a role gets.
    fn budget(&self, role: Role, resource: Resource) -> f64 {
        let (plan, share) = (self.plan, role.share());
        match resource {
            Resource::Processor => plan.processor_us_per_s() * share.processor,
            Resource::Memory => plan.memory_bytes * share.memory,
            Resource::Bandwidth => plan.bytes_per_s * share.bandwidth,
            Resource::Time | Resource::Machines | Resource::Bound => f64::NAN,
        }
    }

    /// A need whose budget is the role's share of a scheduler's budget.
    fn need_of_share(
        &self,
        role: Role,
        resource: Resource,
        what: &'static str,
        formula: &str,
        value: Estimate,
    ) -> Need {
        self.need(resource, what, formula, value, self.budget(role, resource))
    }

    // ---- roles -------------------------------------------------------------------------------------------

    fn module(&self) -> Section {
        let (role, plan, assumptions) = (Role::Module, self.plan, self.assumptions);
        let (workers, functions, calls) =
            (assumptions.workers, assumptions.functions_held(plan), plan.calls_per_scheduler());
        let at: &[f64] = &[workers, functions];
        let (call, sweep) = (self.plane("module_call_us"), self.plane("module_sweep_us_per_s"));
        let (new, share) = (self.line("module.csv", "module_new_us", "workers"), assumptions.new_share(plan));
        let processor =
            Estimate::from_fits([(&call, at), (&new, &[workers]), (&sweep, at)], |[call, new, sweep]| {
                calls * ((1.0 - share) * call + share * new) + sweep
            });
        let (by_functions, by_workers) = (
            self.line("memory.csv", "module_memory_by_functions", "functions"),
            self.line("memory.csv", "module_memory_by_workers", "workers"),
        );
        let memory = Estimate::from_fits(
            [(&by_functions, &[functions]), (&by_workers, &[workers])],
            |[functions, workers]| functions + workers,
        );
        // The module waits this long for answers to probes; then one probe and its answer between zones.
        let cold = MODULE_PROBE_WAIT_S + 2.0 * assumptions.hop_zones_s;
        let needs = vec![
self.need_of_share(
role,
Resource::Processor,
"all its events",
"calls_per_s / schedulers x ((1 - new_share) x call_us(workers, functions_held) + new_share x new_us(workers)) \
                 + sweep_us_per_s(workers, functions_held)",
processor,
),
self.need_of_share(
role,
Resource::Memory,
"functions, their places and workers",
"bytes(functions_held) + bytes(workers)",
memory,
),
self.need(
Resource::Time,
"a cold start's queries",
"0.015 s wait for answers to queries + 2 x hop_zones_s",
Estimate::arithmetic(cold),
plan.cold_start_s * assumptions.cold_control_share,
),
];
        Section {
            role,
            state: "Each worker of the list with demand, evidence and attempts; each function called within four times \
                    keep_s with the places of its copies; calls in progress.",
            messages: "In: calls, outcomes, the list of workers. Out: sends, load orders, up to 3 queries to workers \
                    for a function of which no copy is known. No messages to other schedulers.",
            needs,
            mechanism: "`src/control.rs`: ranks every usable worker for each order and query, computes sums over all \
                    workers and functions twice a second",
            missing: Some(Missing::CandidateIndex),
            notes: vec![format!(
                "One query to another region takes 2 x hop_regions_s = {} s, of {} s that control may take of a cold \
                 start (arithmetic): queries have to stay within a region.",
                figure(2.0 * assumptions.hop_regions_s),
                figure(plan.cold_start_s * assumptions.cold_control_share)
            )],
        }
    }

    fn directory(&self) -> Section {
        let (role, plan, assumptions) = (Role::Directory, self.plan, self.assumptions);
        let update_bytes = self.line("directory.csv", "directory_told_bytes", "updates");
        let update_us = self.line("directory.csv", "directory_heard_us", "updates");
        let memory = self.line("memory.csv", "directory_memory", "facts");
        // An entry is published again after a quarter to a half of keep_s.
        let updates =
            2.0 * assumptions.starts_per_s(plan) + plan.instances / (assumptions.keep_s * REFRESH_SHARE);
        let slope = |fitted: &Option<Fitted>, times: f64| {
            // A rate uses the slope alone: the intercept is the one-time cost of a run.
            let value = Estimate::from_fits([(fitted, &[0.0])], |_| 0.0);
            let each = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1]);
            Estimate { value: each.map(|each| each * times), ..value }
        };
        let needs = vec![
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "starts, ends and refreshes, sent to all schedulers",
                "(2 x instances / instance_life_s + instances / (3/8 x keep_s)) x bytes an update",
                slope(&update_bytes, updates),
            ),
            self.need(
                Resource::Bandwidth,
                "all existing instances, for a scheduler that starts, of its whole budget",
                "instances x bytes an update / start_s",
                slope(&update_bytes, plan.instances / assumptions.start_s),
                plan.bytes_per_s,
            ),
            self.need_of_share(
                role,
                Resource::Processor,
                "updates received",
                "(2 x instances / instance_life_s + instances / (3/8 x keep_s)) x us an update",
                slope(&update_us, updates),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "a fact for each instance",
                "bytes(instances)",
                Estimate::from_fits([(&memory, &[plan.instances])], |[bytes]| bytes),
            ),
            self.need(
                Resource::Bound,
                "facts held",
                "instances, of 16,384 facts held at most",
                Estimate::arithmetic(plan.instances),
                DIRECTORY_MAX_FACTS,
            ),
            self.need(
                Resource::Bound,
                "functions by name",
                "functions_held, of 8,192 names held at most",
                Estimate::arithmetic(assumptions.functions_held(plan)),
                DIRECTORY_MAX_FUNCTIONS,
            ),
        ];
        Section {
role,
state: "Places of copies, by function and worker, with age and count, as far as any scheduler has observed them \
                    within keep_s: `crates/node/src/gossip.rs`, `crates/node/src/instance_directory.rs`.",
messages: "Each start, end and refresh goes in one datagram of up to 25 updates to an address at which all \
                       schedulers listen; every scheduler receives every update, whether it calls the function or \
                       not. The figures are for what one scheduler receives.",
needs,
mechanism: "updates sent to all schedulers",
missing: Some(Missing::PartitionedDirectory),
notes: vec!["Used where the fleet's membership is off: with it on, there is no socket for the directory and \
                         nothing is sent (`Gossip::open`)."
.into()],
}
    }

    fn membership(&self) -> Section {
        let (role, plan, assumptions) = (Role::Membership, self.plan, self.assumptions);
        let members: &[f64] = &[plan.schedulers];
        let value = |series: &str, scale: f64| self.membership_series(series, scale);
        let time = |what, series: &str| {
            let formula = format!("{series}(schedulers) / 1000");
            self.need(Resource::Time, what, &formula, value(series, 1e-3), assumptions.settle_s)
        };
        let rate = MembershipSettings::new(2, 0, 0, 0).bytes_per_s as f64;
        let memory = self.line("memory.csv", "membership_memory", "members");
        let mut needs = vec![
            time("all agree after a start together", "settle_start_ms"),
            time("the death of one is known to all", "settle_kill_one_ms"),
            time("a rack of 40 at once", "settle_kill_rack_ms"),
            time("a zone at once", "settle_kill_zone_ms"),
            time("all agree after a partition between regions heals", "settle_heal_region_ms"),
        ];
        needs.push(self.need_of_share(
            role,
            Resource::Bandwidth,
            "quiet",
            "bytes_per_s_quiet(schedulers)",
            value("bytes_per_s_quiet", 1.0),
        ));
        needs.push(self.need(
            Resource::Bandwidth,
            "worst second of a storm, of the scheduler's whole budget",
            "bytes_per_s_storm_worst(schedulers)",
            value("bytes_per_s_storm_worst", 1.0),
            plan.bytes_per_s,
        ));
        for (what, series) in [("quiet", "cpu_us_per_s_quiet"), ("in a storm", "cpu_us_per_s_storm")] {
            let formula = format!("{series}(schedulers)");
            needs.push(self.need_of_share(role, Resource::Processor, what, &formula, value(series, 1.0)));
        }
        needs.push(self.need_of_share(
            role,
            Resource::Memory,
            "one view",
            "bytes(schedulers)",
            match self.points.series(MEMBERSHIP, "memory_bytes_member").is_empty() {
                true => Estimate::from_fits([(&memory, members)], |[bytes]| bytes),
                false => value("memory_bytes_member", 1.0),
            },
        ));
        Section {
            role,
            state: "An entry, a digest and up to 14 facts for each member of the fleet, in every member; no zones, no \
                    regions.",
            messages: "A probe and its answer each 250 ms, through three others where no answer comes; updates to two \
                       members each 83 ms while there are any, each passed on log2(members) + 3 times; comparisons \
                       of 64 block digests where views differ.",
            needs,
            mechanism: "`crates/membership`: SWIM with anti-entropy, one flat view of all members",
            missing: Some(Missing::ZonedMembership),
            notes: vec![format!(
                "A member sends at most {} bytes/s by its usual settings (arithmetic), so a fleet that has more \
                 updates to send takes longer: its need shows as time.",
                figure(rate)
            )],
        }
    }

    /// A series at the plan's size: the measured point if there is one, else the value of the fit.
    fn at_plan_size(&self, file: &str, series: &str, scale: f64, fitted: &Option<Fitted>) -> Estimate {
        let points = self.points.series(file, series);
        let unsettled = points.iter().filter(|point| point.reading == Reading::Unsettled);
        let unsettled: Vec<String> = unsettled.map(|point| figure(point.size)).collect();
        let here = points.iter().find(|point| point.size == self.plan.schedulers);
        let by_fit = Estimate::from_fits([(fitted, &[self.plan.schedulers])], |[value]| value * scale);
        let mut value = match here.and_then(|point| point.value()) {
            Some(value) => {
                Estimate { value: Some(value * scale), basis: Basis::Measured, extrapolation: 1.0, ..by_fit }
            }
            None => by_fit,
        };
        if let Some(slope) = value.slopes.first_mut().filter(|_| !unsettled.is_empty()) {
            slope.text += &format!("; unsettled at {}, so this is from below", unsettled.join(", "));
        }
        value
    }

    /// A series of the scale runs at the plan's size; of the runs of small fleets where there are no scale runs.
    fn membership_series(&self, series: &str, scale: f64) -> Estimate {
        let file =
            if self.points.series(MEMBERSHIP, series).is_empty() { MEMBERSHIP_SMALL } else { MEMBERSHIP };
        self.at_plan_size(file, series, scale, &self.power_fit(file, series))
    }

    fn permits(&self) -> Section {
        let (role, plan, assumptions) = (Role::Permits, self.plan, self.assumptions);
        let all = self.line("permits.csv", "permits_all_bytes_per_s", "members");
        let request = self.line("permits.csv", "permits_request_us", "subjects");
        let observations = self.line("memory.csv", "permits_sight_memory", "subjects");
        let subjects: &[f64] = &[plan.schedulers + assumptions.workers];
        let requests = 2.0 * plan.restarts_per_day / (assumptions.restart_hours * 3_600.0);
        let each = Estimate::from_fits([(&all, &[plan.schedulers])], |[bytes]| bytes / plan.schedulers);
        let leader = all.as_ref().map(|all| all.fit.coefficients[0].max(0.0) + all.fit.coefficients[1]);
        let leader_bytes =
            Estimate { value: leader, ..Estimate::from_fits([(&all, &[plan.schedulers])], |[bytes]| bytes) };
        let mean_permits =
            plan.restarts_per_day * assumptions.permit_s / (assumptions.restart_hours * 3_600.0);
        let permits = mean_permits + 3.0 * mean_permits.sqrt();
        let settings = PermitSettings::new(plan.schedulers as u16, 0, 0, 0);
        let voters = settings.voters.len();
        let needs = vec![
self.need_of_share(
role,
Resource::Bandwidth,
"a member, mean",
"all_bytes_per_s(schedulers) / schedulers",
each,
),
self.need_of_share(
role,
Resource::Bandwidth,
"the leader at most: its intercept and a member's slope",
"all_bytes_per_s(0) + slope",
leader_bytes,
),
self.need_of_share(
role,
Resource::Processor,
"requests at the leader",
"2 x restarts_per_day / (restart_hours x 3600) x request_us(schedulers + workers)",
Estimate::from_fits([(&request, subjects)], |[us]| us * requests),
),
self.need_of_share(
role,
Resource::Memory,
"the leader's observations, while it answers",
"bytes(schedulers + workers)",
Estimate::from_fits([(&observations, subjects)], |[bytes]| bytes),
),
self.need(
Resource::Bound,
"permits at once",
"restarts_per_day x permit_s / (restart_hours x 3600) + 3 x its root, of 12 permits in a datagram",
Estimate::arithmetic(permits),
MAX_PERMITS as f64,
),
];
        let release = plan.schedulers * assumptions.permit_s / MAX_PERMITS as f64 / 3_600.0;
        Section {
            role,
            state: "A replicated state of up to 12 permits, a release plan and a halt, in one datagram; observations \
                    of all schedulers and workers, collected when a request comes.",
            messages: "The leader asks its voters each 400 ms; each member sends one other each second the position \
                       of the state it has; a change is passed on by each to two others four times.",
            needs,
            mechanism: "`crates/permits`: one quorum for the whole list",
            missing: None,
            notes: vec![
                format!(
                    "{voters} voters spread over the list, whatever its zones and regions (arithmetic): with 2 regions the \
                     one that holds fewer of them gets no permit while regions are apart."
                ),
                format!(
                    "A release that restarts all schedulers, 12 at once, takes schedulers x permit_s / 12 = {} hours \
                     (arithmetic); the plan gives no budget for it.",
                    figure(release)
                ),
            ],
        }
    }

    fn admission(&self) -> Section {
        let (role, plan, assumptions) = (Role::Admission, self.plan, self.assumptions);
        let facts = self.line("admission.csv", "admission_facts_per_s", "pairs");
        let carried = self.line("admission.csv", "fact_carried_bytes", "members");
        let table = self.line("admission.csv", "admission_table_us", "members");
        let memory = self.line("memory.csv", "admission_memory", "members");
        // How often each member passes a fact on grows with the logarithm of the members, not linearly.
        let per_fact = self.fact_bytes_at_plan_size(&carried);
        let members: &[f64] = &[plan.schedulers];
        let published =
            Estimate::from_fits([(&facts, &[assumptions.pairs])], |[facts]| facts * plan.schedulers);
        let bandwidth = Estimate {
            value: published.value.zip(per_fact).map(|(facts, bytes)| facts * bytes),
            basis: if per_fact.is_some() { Basis::Extrapolated } else { Basis::NotRun },
            extrapolation: carried.as_ref().map_or(0.0, |fitted| fitted.extrapolation(members)),
            slopes: published.slopes.into_iter().chain(carried.map(|fitted| fitted.slope)).collect(),
        };
        let needs = vec![
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "facts of load, sent by all members to all",
                "schedulers x facts_per_s(pairs) x bytes that each member sends for one fact",
                bandwidth,
            ),
            self.need_of_share(
                role,
                Resource::Processor,
                "a table each 100 ms",
                "10 x table_us(schedulers)",
                Estimate::from_fits([(&table, members)], |[us]| us * TABLES_PER_S),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "the load of all others",
                "bytes(schedulers)",
                Estimate::from_fits([(&memory, members)], |[bytes]| bytes),
            ),
        ];
        Section {
role,
state: "The load by class and tenant of each other member, as published within the last 5 s; a table of shares.",
messages: "Each member publishes a summary and pages of pairs as facts, those that changed each 500 ms; membership \
                       carries each fact to every member.",
needs,
mechanism: "`crates/admission`: every member computes the same shares from the load that all publish, in membership's \
                    facts",
missing: Some(Missing::ZonedMembership),
notes: vec!["Membership sends no faster than its own budget: past it facts come late, those older than 5 s are \
                         not used, and every call is then admitted. So the need does not show as bytes but as \
                         admission control that is off. Sums for each zone in place of facts of each member would be \
                         zones x the same bytes. Admission control runs in `serve`; `node` has none."
.into()],
}
    }

    /// Bytes that a member sends for one fact at the plan's size: the measurement at the largest size, scaled by how
    /// often a fact is passed on at the two sizes.
    fn fact_bytes_at_plan_size(&self, fitted: &Option<Fitted>) -> Option<f64> {
        let largest = fitted.as_ref()?.fit.max_regressors[0];
        let points = self.points.series("admission.csv", "fact_carried_bytes");
        let measured = points.iter().find(|point| point.size == largest)?.value()?;
        let repeats =
            |members: f64| f64::from(MembershipSettings::new(members as u16, 0, 0, 0).retransmit_limit());
        Some(measured * repeats(self.plan.schedulers) / repeats(largest))
    }

    fn routing(&self) -> Section {
        let (role, plan) = (Role::Routing, self.plan);
        let file = "routing.csv";
        let value = |series: &str| self.at_plan_size(file, series, 1.0, &self.line(file, series, "gateways"));
        let each = |one: Estimate, other: Estimate| Estimate {
            value: one.value.zip(other.value).map(|(one, other)| (one + other) * ROUTE_REPORTS_PER_S),
            basis: one.basis.max(other.basis),
            extrapolation: one.extrapolation.max(other.extrapolation),
            slopes: one.slopes.into_iter().chain(other.slopes).collect(),
        };
        let memory = self.line("memory.csv", "routing_memory", "functions");
        let needs = vec![
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "the coordinator of a site",
                "teller_bytes_per_s(schedulers), 7 sites, 200 functions",
                value("routing_teller_bytes_per_s"),
            ),
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "the median gateway",
                "median_bytes_per_s(schedulers)",
                value("routing_median_bytes_per_s"),
            ),
            self.need_of_share(
                role,
                Resource::Processor,
                "building the frames and a table, each 250 ms",
                "4 x (tell_us(schedulers) + table_us(schedulers))",
                each(value("routing_tell_us"), value("routing_table_us")),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "functions at 7 sites, before any counts arrive",
                "bytes(functions)",
                Estimate::from_fits([(&memory, &[plan.functions])], |[bytes]| bytes),
            ),
        ];
        Section {
            role,
            state: "For each function its cost at each site and its home; queue, free capacity and link of each site.",
            messages: "Each 250 ms a gateway sends its counts to its site's coordinator, which reports to other sites \
                       and to its own gateways.",
            needs,
            mechanism: "`crates/site-routing`: one coordinator for each site, frames over persistent connections",
            missing: Some(Missing::ZonedMembership),
            notes: vec![
"Measured with 200 functions called at every gateway; with more functions frames grow until their bound, \
                 so this is from below."
.into(),
],
        }
    }

    fn journals(&self) -> Section {
        let (role, plan, assumptions) = (Role::Journals, self.plan, self.assumptions);
        let stored_per_s = plan.calls_per_scheduler() * assumptions.kept_share;
        let bytes = self.line("journals.csv", "journals_event_bytes", "event bytes");
        let us = self.line("journals.csv", "journals_events_us", "events");
        let memory = self.line("memory.csv", "journals_memory", "events");
        let each = |fitted: &Option<Fitted>, times: f64| {
            let value = Estimate::from_fits([(fitted, &[0.0])], |_| 0.0);
            let slope = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1] * times);
            Estimate { value: slope, ..value }
        };
        let needs = vec![
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "entries, without the events' own bytes",
                "calls_per_s / schedulers x kept_share x event_bytes(0)",
                Estimate::from_fits([(&bytes, &[0.0])], |[bytes]| bytes * stored_per_s),
            ),
            self.need_of_share(
                role,
                Resource::Processor,
                "as writer and as holder for another writer",
                "calls_per_s / schedulers x kept_share x us an event",
                each(&us, stored_per_s),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "at writer and holder, 60 s of them with 500 bytes each",
                "calls_per_s / schedulers x kept_share x 60 s x bytes an event",
                each(&memory, stored_per_s * JOURNAL_RETENTION_S),
            ),
        ];
        Section {
role,
state: "Events accepted and not ended, ended ones until their retention time is over, those held for other writers.",
messages: "For each kept event three entries to a holder at another site, and their acknowledgements.",
needs,
mechanism: "`crates/pending`: one journal for each writer, holders at other sites",
missing: None,
notes: vec!["The bytes of the events themselves go to the holder too; they are traffic of calls here, not \
                         control. kept_share is the assumption that decides: see the sensitivity run."
.into()],
}
    }

    fn configuration(&self) -> Section {
        let (role, plan, assumptions) = (Role::Configuration, self.plan, self.assumptions);
        let in_force = self.membership_series("settle_kill_one_ms", 1e-3);
        let state = plan.functions * (size_of::<FunctionSpec>() + FUNCTION_NAME_BYTES) as f64;
        let needs = vec![
            self.need(
                Resource::Time,
                "until in force everywhere, if today's membership spread it as it spreads a death",
                "settle_kill_one_ms(schedulers) / 1000",
                in_force,
                plan.change_in_force_s,
            ),
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "each change once to each scheduler",
                "changes_per_day / 86400 x change_bytes",
                Estimate::arithmetic(plan.changes_per_s() * assumptions.change_bytes),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "an entry for each function",
                "functions x (bytes of FunctionSpec + 24)",
                Estimate::arithmetic(state),
            ),
        ];
        Section {
            role,
            state: "A file for each process, read at its start and on SIGHUP; the mark of the program's version is \
                    sent to all schedulers, that of its configuration to none.",
            messages: "None between schedulers. Whoever changes something writes a file to each machine and sends a signal.",
            needs,
            mechanism: "missing: SIGHUP, one process at a time",
            missing: Some(Missing::VersionedConfiguration),
            notes: vec![
                format!(
                    "One change each {} s (arithmetic): the next begins before the last has had its 9 s and before a \
                     partition of a minute is over, so several versions are under way at once.",
                    figure(1.0 / plan.changes_per_s())
                ),
                "A scheduler that missed a change acts on the file that it last read; no other process knows which \
                 file that is, and nothing fences it."
                    .into(),
            ],
        }
    }

    fn watch(&self) -> Section {
        let (role, plan, assumptions) = (Role::Watch, self.plan, self.assumptions);
        let bytes = self.line("watch.csv", "watch_list_bytes", "workers");
        let parse = self.line("watch.csv", "watch_parse_us", "workers");
        let memory = self.line("memory.csv", "watch_memory", "workers");
        let workers: &[f64] = &[assumptions.workers];
        // Each start of a worker causes three changes: leaving, gone and started again. In addition the list sends a
        // line each second that confirms that it is complete.
        let changes = 3.0 * assumptions.workers * assumptions.worker_starts_per_day / DAY_S;
        let slope = |fitted: &Option<Fitted>, times: f64, beside: f64| {
            let value = Estimate::from_fits([(fitted, workers)], |_| 0.0);
            let each = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1] * times + beside);
            Estimate { value: each, ..value }
        };
        let needs = vec![
            self.need_of_share(
                role,
                Resource::Bandwidth,
                "changes, and one line each second",
                "3 x workers x worker_starts_per_day / 86400 x bytes a worker + 12",
                slope(&bytes, changes, WATCH_LINE_BYTES),
            ),
            self.need(
                Resource::Bandwidth,
                "the whole list, for a scheduler that starts, of its whole budget",
                "list_bytes(workers) / start_s",
                Estimate::from_fits([(&bytes, workers)], |[bytes]| bytes / assumptions.start_s),
                plan.bytes_per_s,
            ),
            self.need_of_share(
                role,
                Resource::Processor,
                "changes read",
                "3 x workers x worker_starts_per_day / 86400 x us a worker",
                slope(&parse, changes, 0.0),
            ),
            self.need_of_share(
                role,
                Resource::Memory,
                "the list",
                "bytes(workers)",
                Estimate::from_fits([(&memory, workers)], |[bytes]| bytes),
            ),
        ];
        let whole = bytes.as_ref().map(|bytes| bytes.at(workers) * plan.schedulers);
        let storm = whole.map_or("not run".into(), |bytes| format!("{} MB", figure(bytes / 1e6)));
        Section {
            role,
            state: "The list of workers with state, zone, kind and start; the number of the last event held.",
            messages: "One connection to the platform's list: numbered events, a line each second; after a gap the events \
                       after the last one held, at a start the whole list.",
            needs,
            mechanism: "`crates/bulletin`: each scheduler follows the one list by itself",
            missing: None,
            notes: vec![format!(
                "All schedulers that read the whole list at once: schedulers x list_bytes(workers) = {storm} \
                 (extrapolated from the slope above)."
            )],
        }
    }

    fn control_machines(&self) -> Section {
        let (role, plan, assumptions) = (Role::ControlMachines, self.plan, self.assumptions);
        let bytes = self.line("watch.csv", "watch_list_bytes", "workers");
        let parse = self.line("watch.csv", "watch_parse_us", "workers");
        let workers: &[f64] = &[assumptions.workers];
        let per_machine = plan.schedulers / plan.control_machines;
        let changes = 3.0 * assumptions.workers * assumptions.worker_starts_per_day / DAY_S;
        let slope = |fitted: &Option<Fitted>, join: &dyn Fn(f64) -> f64| {
            let value = Estimate::from_fits([(fitted, workers)], |_| 0.0);
            Estimate { value: fitted.as_ref().map(|fitted| join(fitted.fit.coefficients[1])), ..value }
        };
        let config = plan.changes_per_s() * assumptions.change_bytes;
        let quorum = (plan.control_machines / 2.0).floor() + 1.0;
        let left = plan.control_machines - (plan.control_machines / plan.regions).ceil();
        let needs = vec![
self.need(
Resource::Bandwidth,
"changes of configuration and of the list, to its part of the schedulers",
"schedulers / control_machines x (changes_per_day / 86400 x change_bytes + list changes)",
slope(&bytes, &|each| per_machine * (config + changes * each + WATCH_LINE_BYTES)),
assumptions.control_bytes_per_s,
),
self.need(
Resource::Bandwidth,
"whole lists to its part, all of which start",
"schedulers / control_machines x list_bytes(workers) / start_s",
Estimate::from_fits([(&bytes, workers)], |[bytes]| per_machine * bytes / assumptions.start_s),
assumptions.control_bytes_per_s,
),
self.need(
Resource::Processor,
"an entry read or written, to its part, all of which start",
"schedulers / control_machines x workers x us a worker / start_s",
slope(&parse, &|each| per_machine * assumptions.workers * each / assumptions.start_s),
assumptions.control_cores * 1e6,
),
self.need(
Resource::Machines,
"a majority while one region is lost",
"floor(control_machines / 2) + 1, of control_machines - ceil(control_machines / regions) left",
Estimate::arithmetic(quorum),
left,
),
];
        Section {
            role,
            state: "Nothing of this project: the platform's list of workers is served from there.",
            messages: "The list to 1,900 connections.",
            needs,
            mechanism: "missing: no part of this project runs on them",
            missing: Some(Missing::VersionedConfiguration),
            notes: vec![format!(
                "A zone's loss takes ceil(9 / 7) = 2 of the 9 and leaves a majority; of two regions the larger part's loss \
                 leaves {} of the {} that a majority takes (arithmetic). No way to place 9 machines in 2 regions changes \
                 that: what has to go on while regions are apart may not need their majority.",
                figure(left),
                figure(quorum)
            )],
        }
    }
}

/// How long the decision module waits for answers to probes (`QUERY_WAIT_US` of `src/control.rs`), seconds.
const MODULE_PROBE_WAIT_S: f64 = 0.015;
/// Mean time after which an entry of the directory is published again, as a part of keep_s.
const REFRESH_SHARE: f64 = 0.375;
/// `MAX_OBSERVATIONS` of `crates/node/src/instance_directory.rs`.
const DIRECTORY_MAX_FACTS: f64 = 16_384.0;
/// `MAX_FUNCTIONS` of the same file.
const DIRECTORY_MAX_FUNCTIONS: f64 = 8_192.0;
/// Admission control computes a table each 100 ms (`TABLE_INTERVAL` of `crates/admission`).
const TABLES_PER_S: f64 = 10.0;
/// Site routing publishes its counts each 250 ms.
const ROUTE_REPORTS_PER_S: f64 = 4.0;
/// How long a journaled event is assumed to be held, seconds.
const JOURNAL_RETENTION_S: f64 = 60.0;
/// The line that the watch sends each second.
const WATCH_LINE_BYTES: f64 = 12.0;
/// Memory of a function's name.
const FUNCTION_NAME_BYTES: usize = 24;
