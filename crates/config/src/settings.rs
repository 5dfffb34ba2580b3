use crate::sites::{ReplicationConfig, SitesConfig};
use basaltward::{FunctionId, Micros, Settings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A function that clients may call.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Its name.
    pub name: FunctionId,
    /// Its class, an index into [`Config::classes`].
    pub class: usize,
    /// Memory of one copy, MB.
    pub memory_mb: f64,
    /// Number of calls that one copy runs concurrently.
    pub lanes: u32,
    /// Expected time to load a copy, in microseconds, if configured.
    pub load_time: Option<Micros>,
}

/// Settings of connections to workers. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConfig {
    /// Maximum number of connections to one worker.
    pub connections: usize,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Micros,
    /// Time after which the gateway closes an unused connection. Should be below the workers' own limit.
    pub idle_timeout: Micros,
    /// Maximum length of a worker's response, in bytes.
    pub response_bytes: usize,
}

/// Limits on clients' connections and requests. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum number of connections of one event loop.
    pub connections: usize,
    /// Maximum number of calls in flight in one event loop.
    pub calls: usize,
    /// Maximum number of connections that wait for the same call.
    pub waiters: usize,
    /// Maximum number of events in a batch.
    pub batch_events: usize,
    /// Maximum length of a request line, in bytes.
    pub line_bytes: usize,
    /// Maximum length of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of header fields.
    pub header_fields: usize,
    /// Maximum length of a request's body, in bytes.
    pub body_bytes: usize,
    /// Bytes of answers that a client has not read yet, above which no further request of it is accepted.
    pub unsent_bytes: usize,
    /// Maximum time for a request's head to arrive.
    pub head_timeout: Micros,
    /// Maximum time for a request's body to arrive.
    pub body_timeout: Micros,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Micros,
}

/// Limits on the records of ended events, by which repeats are recognised. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RepeatsConfig {
    /// How long a record is retained.
    pub retention: Micros,
    /// Maximum number of records of safe events for a tenant.
    pub answers_per_tenant: usize,
    /// Maximum number of records of keyed and unsafe events for a tenant.
    pub guards_per_tenant: usize,
    /// Maximum size of the retained answers for a tenant, in bytes.
    pub bytes_per_tenant: usize,
    /// How long a call continues after its last client has left.
    pub linger: Micros,
}

/// The margin before a client's deadline that is reserved for delivering the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct MarginConfig {
    /// Its share of the time that the client waits.
    pub share: f64,
    /// Its lower bound, in microseconds.
    pub min: Micros,
    /// Its upper bound, in microseconds.
    pub max: Micros,
}

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the gateway in logs and records.
    pub name: String,
    /// Number of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Number of event loops. Each is a scheduler of its own.
    pub threads: u32,
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    /// The file that lists the workers.
    pub roster_file: PathBuf,
    /// Interval at which that file is checked for changes, in microseconds.
    pub roster_check_interval: Micros,
    /// Names of the zones; an index into it identifies a zone.
    pub zones: Vec<String>,
    /// Names of the kinds of worker; an index into it identifies a kind.
    pub worker_kinds: Vec<String>,
    /// Names of the classes; an index into it identifies a class.
    pub classes: Vec<String>,
    /// How the events of each class are replicated, by class index; `None` if they are not.
    pub replication: Vec<Option<ReplicationConfig>>,
    /// Names of the tenants; an index into it identifies a tenant. Empty if no tenants are configured.
    pub tenants: Vec<String>,
    /// The functions.
    pub functions: Vec<FunctionConfig>,
    /// Settings of the controller. `schedulers` and `self_index` are left at their defaults here;
    /// [`Config::controller_settings`] sets them.
    pub controller: Settings,
    /// How long after the gateway was notified of a drain it may still send new calls to the worker, in microseconds.
    pub drain_grace: Micros,
    /// Settings of connections to workers.
    pub links: LinkConfig,
    /// Limits on clients.
    pub client_limits: ClientLimits,
    /// Limits on the records of ended events.
    pub repeats: RepeatsConfig,
    /// The margin reserved for delivering an answer.
    pub margin: MarginConfig,
    /// The file that records are written to, if any.
    pub records_file: Option<PathBuf>,
    /// The sites that back one another up, if configured.
    pub sites: Option<SitesConfig>,
}

impl Config {
    /// The controller's settings for one event loop of this gateway, with its number among all schedulers.
    pub fn controller_settings(&self, thread: u32) -> Settings {
        let mut settings = self.controller.clone();
        settings.schedulers = self.gateway_count * self.threads;
        settings.self_index = self.gateway_index * self.threads + thread;
        settings
    }
}
