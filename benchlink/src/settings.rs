//! The settings object of `begin`, read into [`basaltward::Settings`]. Unknown keys are disregarded.

use basaltward::{Class, Family, Group, Limits, Repeat, Rules, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    #[serde(default)]
    discovery: String,
    family_info: FamilyInfo,
    limits: WireLimits,
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
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    answer_slack_us: f64,
    cold_from: f64,
    warm_within_us: f64,
    tip_multiple: f64,
    fall_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
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

fn class(wire: WireClass) -> Result<Class, String> {
    let repeat = match wire.repeat.as_str() {
        "safe" => Repeat::Safe,
        "unsafe" => Repeat::Unsafe,
        "keyed" => {
            let group = match wire.group.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("group {other:?} is none of all, zone, cell")),
            };
            Repeat::Keyed { group, window: wire.window_us as u64 }
        }
        other => return Err(format!("repeat {other:?} is none of safe, keyed, unsafe")),
    };
    Ok(Class {
        aim: wire.on_time_us as u64,
        deadline: wire.deadline_us as u64,
        repeat,
        worth: wire.credit,
        late_worth: wire.late_value,
    })
}

/// Reads the settings object.
pub fn parse(text: &str) -> Result<Settings, String> {
    let options: Options = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let (family, limits, rules) = (options.family_info, options.limits, options.rules);
    Ok(Settings {
        classes: options.request_classes.into_iter().map(class).collect::<Result<_, _>>()?,
        tenant_quotas: options.projects.iter().map(|p| p.quota_per_s).collect(),
        over_share_worth: options.over_share_worth,
        family: Family {
            kind_memory_mb: family.machine_mb,
            load_on_miss: family.miss_mode != "miss",
            orders: family.load_control,
            order_timeout: family.order_limit_us as u64,
            keep: family.stays_loaded_us as u64,
            load_window: family.load_period_us as u64,
            load_free: family.loads_anyway,
            load_share: family.load_share,
        },
        limits: Limits {
            attempts: limits.send_cap,
            second_copies: limits.second_copies,
            cancel: limits.cancel,
            probes: limits.probes,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after_us as u64,
        },
        rules: Rules {
            answer_slack: rules.answer_slack_us as u64,
            cold_from: rules.cold_from,
            warm_within: rules.warm_within_us as u64,
            tip_multiple: rules.tip_multiple,
            fall: rules.fall_us as u64,
        },
        report_names: options.report.names,
        schedulers: options.replicas_of_me,
        self_index: options.self_index,
        zone: options.zone,
        tick: options.round_us as u64,
        must_ask: options.discovery == "ask",
    })
}
