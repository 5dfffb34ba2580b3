use crate::sites::{ReplicationConfig, SitesConfig};
use basaltward::{FunctionId, Micros, Settings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A function that may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Its name.
    pub name: FunctionId,
    /// Its class, a position in the module's settings.
    pub class: usize,
    /// Memory of one copy, MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at once.
    pub lanes: u32,
    /// How long a load usually takes.
    pub load_time: Option<Micros>,
}

/// How connections to workers are used.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConfig {
    /// Most connections to one worker.
    pub connections: usize,
    /// A connection not established by then has failed.
    pub connect_timeout: Micros,
    /// A connection unused for longer is closed here; below the workers' own limit.
    pub idle_timeout: Micros,
    /// Longest answer taken from a worker, in bytes.
    pub response_bytes: usize,
}

/// Bounds on clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Most connections of one loop.
    pub connections: usize,
    /// Most calls in hand of one loop.
    pub calls: usize,
    /// Most connections that wait for one call.
    pub waiters: usize,
    /// Most events of a batch.
    pub batch_events: usize,
    /// Longest request line, in bytes.
    pub line_bytes: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most header fields.
    pub header_fields: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Answers not yet read by a client, in bytes, past which none of its requests is taken.
    pub unsent_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Micros,
    /// How long a body may take to arrive.
    pub body_timeout: Micros,
    /// How long a connection may be idle.
    pub idle_timeout: Micros,
}

/// What is remembered of events that have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RepeatsConfig {
    /// For how long.
    pub retention: Micros,
    /// Most safe events of a tenant.
    pub answers_per_tenant: usize,
    /// Most keyed and unsafe events of a tenant.
    pub guards_per_tenant: usize,
    /// Most bytes of a tenant's answers.
    pub bytes_per_tenant: usize,
    /// How long a call goes on after its last client left.
    pub linger: Micros,
}

/// How much of a client's patience is kept back.
#[derive(Clone, Debug, PartialEq)]
pub struct MarginConfig {
    /// Part of the patience.
    pub share: f64,
    /// At least this.
    pub min: Micros,
    /// At most this.
    pub max: Micros,
}

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name in logs and records.
    pub name: String,
    /// Its number among all gateways, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// Loops, each a scheduler of its own.
    pub threads: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file that lists the workers.
    pub roster_file: PathBuf,
    /// How often that is looked at.
    pub roster_check_interval: Micros,
    /// Names of zones, by position.
    pub zones: Vec<String>,
    /// Names of the kinds of worker, by position.
    pub worker_kinds: Vec<String>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// How each class keeps its events, by position; none where it does not.
    pub replication: Vec<Option<ReplicationConfig>>,
    /// Names of tenants, by position; empty without tenants.
    pub tenants: Vec<String>,
    /// The functions.
    pub functions: Vec<FunctionConfig>,
    /// What the module is told; `schedulers` and `self_index` are those of the first loop.
    pub controller: Settings,
    /// After a drain was told, nothing new goes to the worker once this has passed.
    pub drain_grace: Micros,
    /// Connections to workers.
    pub links: LinkConfig,
    /// Connections of clients.
    pub client_limits: ClientLimits,
    /// Memory of repeats.
    pub repeats: RepeatsConfig,
    /// The answer's margin.
    pub margin: MarginConfig,
    /// Where records are written, if anywhere.
    pub records_file: Option<PathBuf>,
    /// Sites that stand in for one another, if any.
    pub sites: Option<SitesConfig>,
}

impl Config {
    /// The module's settings for one loop of this gateway: its number among all schedulers.
    pub fn controller_settings(&self, thread: u32) -> Settings {
        let mut settings = self.controller.clone();
        settings.schedulers = self.gateway_count * self.threads;
        settings.self_index = self.gateway_index * self.threads + thread;
        settings
    }
}
