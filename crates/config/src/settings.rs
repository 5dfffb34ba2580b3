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
    pub load: Option<Micros>,
}

/// How connections to workers are used.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConfig {
    /// Most connections to one worker.
    pub connections: usize,
    /// A connection not established by then has failed.
    pub connect_timeout: Micros,
    /// A connection unused for longer is closed here; below the workers' own limit.
    pub idle: Micros,
    /// Longest answer taken from a worker, in bytes.
    pub response_bytes: usize,
}

/// Bounds on clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontConfig {
    /// Most connections of one loop.
    pub connections: usize,
    /// Most calls in hand of one loop.
    pub calls: usize,
    /// Most connections that wait for one call.
    pub waiters: usize,
    /// Most events of a batch.
    pub batch: usize,
    /// Longest request line, in bytes.
    pub line_bytes: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most header fields.
    pub fields: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Answers not yet read by a client, in bytes, past which none of its requests is taken.
    pub unsent_bytes: usize,
    /// How long a head may take to arrive.
    pub head: Micros,
    /// How long a body may take to arrive.
    pub body: Micros,
    /// How long a connection may be idle.
    pub idle: Micros,
}

/// What is remembered of events that have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RepeatsConfig {
    /// For how long.
    pub remember: Micros,
    /// Most safe events of a tenant.
    pub answers: usize,
    /// Most keyed and unsafe events of a tenant.
    pub guards: usize,
    /// Most bytes of a tenant's answers.
    pub bytes: usize,
    /// How long a call goes on after its last client left.
    pub linger: Micros,
}

/// How much of a client's patience is kept back.
#[derive(Clone, Debug, PartialEq)]
pub struct MarginConfig {
    /// Part of the patience.
    pub share: f64,
    /// At least this.
    pub least: Micros,
    /// At most this.
    pub most: Micros,
}

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name in logs and records.
    pub name: String,
    /// Its number among all gateways, from 0.
    pub index: u32,
    /// How many gateways there are.
    pub count: u32,
    /// Loops, each a scheduler of its own.
    pub threads: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file that lists the workers.
    pub roster: PathBuf,
    /// How often that is looked at.
    pub roster_check: Micros,
    /// Names of zones, by position.
    pub zones: Vec<String>,
    /// Names of the kinds of worker, by position.
    pub kinds: Vec<String>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// How each class keeps its events, by position; none where it does not.
    pub kept: Vec<Option<ReplicationConfig>>,
    /// Names of tenants, by position; empty without tenants.
    pub tenants: Vec<String>,
    /// The functions.
    pub functions: Vec<FunctionConfig>,
    /// What the module is told; `schedulers` and `self_index` are those of the first loop.
    pub module: Settings,
    /// After a drain was told, nothing new goes to the worker once this has passed.
    pub drain_grace: Micros,
    /// Connections to workers.
    pub links: LinkConfig,
    /// Connections of clients.
    pub front: FrontConfig,
    /// Memory of repeats.
    pub repeats: RepeatsConfig,
    /// The answer's margin.
    pub margin: MarginConfig,
    /// Where records are written, if anywhere.
    pub records: Option<PathBuf>,
    /// Sites that stand in for one another, if any.
    pub sites: Option<SitesConfig>,
}

impl Config {
    /// The module's settings for one loop of this gateway: its number among all schedulers.
    pub fn module_of(&self, thread: u32) -> Settings {
        let mut settings = self.module.clone();
        settings.schedulers = self.count * self.threads;
        settings.self_index = self.index * self.threads + thread;
        settings
    }
}
