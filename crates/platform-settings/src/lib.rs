//! Parses the settings object with which the platform configures each scheduler at its start into
//! [`basaltward::Settings`] and the settings of the network code. Unknown keys are ignored. Both the simulator's
//! adapter and the live scheduler use this parser.
#![warn(missing_docs)]

use basaltward::{Class, CopySettings, Group, Limits, Micros, Repeat, Rules, Settings, SettingsError};
use serde::Deserialize;
use thiserror::Error;

/// Why a settings object is invalid.
#[derive(Debug, Error)]
pub enum PlatformSettingsError {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A field has a value that is not one of its known values.
    #[error("{field} {value:?} is not one of {expected}")]
    UnknownValue {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The allowed values, separated by commas.
        expected: &'static str,
    },
    /// The module rejects the settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// A parsed settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Settings of the module.
    pub module: Settings,
    /// Names of the classes, in the order of the module's indexes.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the module's indexes; empty if calls have no tenants.
    pub tenants: Vec<String>,
    /// Names of the kinds of workers, in the order of the module's indexes.
    pub kinds: Vec<String>,
    /// Names of the zones, in the order of the module's indexes.
    pub zones: Vec<String>,
    /// Settings of connections to workers.
    pub links: LinkSettings,
    /// Whether schedulers may send datagrams to each other.
    pub peers: bool,
}

/// Settings of connections to workers; 0 means not configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkSettings {
    /// Maximum number of concurrent requests on one connection.
    pub streams: usize,
    /// Workers close a connection after this idle time, in microseconds.
    pub idle_close: Micros,
    /// A connection that is not established within this time, in microseconds, has failed.
    pub connect_timeout: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    discovery: String,
    family_info: FamilyInfo,
    #[serde(default)]
    fees: Fees,
    limits: WireLimits,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    projects: Vec<Project>,
    replicas_of_me: u32,
    #[serde(default)]
    report: Report,
    request_classes: Vec<WireClass>,
    round_us: f64,
    rules: WireRules,
    #[serde(default)]
    self_index: u32,
    #[serde(default)]
    zone: usize,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Fees {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    machine_mb: Vec<f64>,
    #[serde(default)]
    miss_mode: String,
    #[serde(default)]
    load_control: bool,
    #[serde(default)]
    order_limit_us: f64,
    stays_loaded_us: f64,
    #[serde(default)]
    load_period_us: f64,
    #[serde(default)]
    loads_anyway: f64,
    #[serde(default)]
    load_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    send_cap: u32,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: f64,
    #[serde(default)]
    streams_per_conn: usize,
    #[serde(default)]
    idle_close_us: f64,
    #[serde(default)]
    connect_timeout_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    answer_slack_us: f64,
    cold_from: f64,
    warm_within_us: f64,
    tip_multiple: f64,
    fall_us: f64,
    drain_grace_us: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    #[serde(default)]
    name: String,
    deadline_us: f64,
    on_time_us: f64,
    repeat: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_us: f64,
    #[serde(default = "one")]
    credit: f64,
    #[serde(default)]
    late_value: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Project {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    names: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn class(wire: &WireClass) -> Result<Class, PlatformSettingsError> {
    let unknown_value = |field, value: &str, expected| PlatformSettingsError::UnknownValue {
        field,
        value: value.into(),
        expected,
    };
    let repeat = match wire.repeat.as_str() {
        "safe" => Repeat::Safe,
        "unsafe" => Repeat::Unsafe,
        "keyed" => {
            let group = match wire.group.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(unknown_value("group", other, "all, zone, cell")),
            };
            Repeat::Keyed { group, window: wire.window_us as u64 }
        }
        other => return Err(unknown_value("repeat", other, "safe, keyed, unsafe")),
    };
    Ok(Class {
        aim: wire.on_time_us as u64,
        deadline: wire.deadline_us as u64,
        repeat,
        value: wire.credit,
        late_value: wire.late_value,
    })
}

/// Parses a settings object.
///
/// # Errors
/// If the text is not a valid settings object, or the module rejects the settings.
pub fn parse(text: &str) -> Result<PlatformSettings, PlatformSettingsError> {
    let options: Options = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    let (family, limits, rules) = (options.family_info, options.limits, options.rules);
    let links = LinkSettings {
        streams: limits.streams_per_conn,
        idle_close: limits.idle_close_us as u64,
        connect_timeout: limits.connect_timeout_us as u64,
    };
    let peers = limits.peers;
    let classes = options.request_classes.iter().map(|c| c.name.clone()).collect();
    let tenants = options.projects.iter().map(|p| p.name.clone()).collect();
    let module = Settings {
        classes: options.request_classes.iter().map(class).collect::<Result<_, _>>()?,
        tenant_quotas: options.projects.iter().map(|p| p.quota_per_s).collect(),
        over_share_value: options.over_share_worth,
        copies: CopySettings {
            kind_memory_mb: family.machine_mb,
            load_on_miss: family.miss_mode != "miss",
            orders: family.load_control,
            order_timeout: family.order_limit_us as u64,
            keep_alive: family.stays_loaded_us as u64,
            load_window: family.load_period_us as u64,
            load_free: family.loads_anyway,
            load_share: family.load_share,
        },
        limits: Limits {
            attempts: limits.send_cap,
            concurrent_attempts: limits.second_copies,
            cancel: limits.cancel,
            probes: limits.probes,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after_us as u64,
        },
        rules: Rules {
            answer_slack: rules.answer_slack_us as u64,
            cold_from: rules.cold_from,
            warm_within: rules.warm_within_us as u64,
            overload_multiple: rules.tip_multiple,
            overload_span: rules.fall_us as u64,
            drain_grace: rules.drain_grace_us.map(|grace| grace as u64),
            // Set by the network code, which has the limits for the duration of sending.
            send_delay: 0,
        },
        report_names: options.report.names,
        schedulers: options.replicas_of_me,
        self_index: options.self_index,
        zone: options.zone,
        cross_zone: options.fees.cross_zone,
        tick: options.round_us as u64,
        needs_watch: options.discovery == "ask",
    };
    module.check()?;
    Ok(PlatformSettings { module, classes, tenants, kinds: options.models, zones: options.dcs, links, peers })
}
