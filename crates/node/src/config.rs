use crate::Budget;
use basaltward_bulletin::InitialEvents;
use basaltward_permits::Bounds;
use basaltward_platform_settings::{PlatformSettings, PlatformSettingsError};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use thiserror::Error;

/// Maximum number of members of a fleet.
const MAX_PEERS: usize = 10_000;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration can't be read: {0}")]
    Read(#[from] std::io::Error),
    /// A field is missing or malformed.
    #[error("configuration, at {0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Trailing data after the JSON value, as when the file is being written over a longer one.
    #[error("configuration, behind its end: {0}")]
    Tail(serde_json::Error),
    /// The settings object can't be used.
    #[error("configuration, at settings: {0}")]
    Settings(#[from] PlatformSettingsError),
    /// The fleet's view is enabled but misconfigured.
    #[error("configuration, at fleet: {0}")]
    Fleet(&'static str),
    /// A key has been renamed.
    #[error("configuration: {old} is called {new} now: rename it")]
    Renamed {
        /// The key that was found.
        old: &'static str,
        /// Its current name.
        new: &'static str,
    },
    /// The seed is not a hexadecimal number.
    #[error("configuration, at seed: {0:?} is not a number of up to 16 hex digits")]
    Seed(String),
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    bulletin: SocketAddr,
    known: InitialEvents,
    settings: Box<RawValue>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    /// Whether peers report to one another which workers have copies loaded. Off by default: it saves probes but
    /// calls are served later.
    #[serde(default)]
    gossip: bool,
    /// The old name of `gossip`, refused.
    words: Option<IgnoredAny>,
    /// If absent, the scheduler neither listens for other schedulers nor sends to them.
    fleet: Option<FleetFile>,
}

#[derive(Deserialize)]
struct FleetFile {
    #[serde(default)]
    view: bool,
    #[serde(default)]
    name: String,
    #[serde(default)]
    operators: Vec<IpAddr>,
    #[serde(default)]
    zones: Vec<String>,
    /// If absent, this scheduler takes no part in the fleet's permits.
    permits: Option<PermitsFile>,
    /// The old name of `permits`, refused.
    agreed: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct PermitsFile {
    #[serde(default)]
    bounds: Bounds,
    #[serde(default)]
    version: String,
}

/// Configuration of the fleet's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The name of the fleet.
    pub name: String,
    /// Where datagrams of peers arrive.
    pub listen: SocketAddr,
    /// The addresses that members send from and receive at, by member number, this scheduler included.
    pub peers: Vec<SocketAddr>,
    /// Addresses from which operators may send requests.
    pub operators: Vec<IpAddr>,
    /// The zone number of each of `peers`; members without a configured zone are in the first.
    pub zones: Vec<u8>,
    /// Bounds on concurrent permits, if the fleet uses permits.
    pub bounds: Option<Bounds>,
    /// The operators' name for the version of this configuration and its program.
    pub version: String,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// Addresses for gossip with other schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Where their datagrams arrive.
    pub listen: SocketAddr,
    /// The addresses that members send from and receive at, by member number, this scheduler included.
    pub addresses: Vec<SocketAddr>,
    /// The address that reaches all of them at once.
    pub group: SocketAddr,
}

/// The configuration of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of the module's random choices.
    pub seed: u64,
    /// The bounds that follow from the limits.
    pub budget: Budget,
    /// The bulletin's address.
    pub bulletin: SocketAddr,
    /// The bulletin's events known at the start.
    pub known: InitialEvents,
    /// The settings.
    pub settings: PlatformSettings,
    /// Addresses for gossip, if it is enabled, the settings allow datagrams between schedulers, `peer_listen` and
    /// `peers_all` are configured, and there are at most 10,000 peers.
    pub peers: Option<Peers>,
    /// The fleet's view, if it is enabled.
    pub fleet: Option<FleetConfig>,
}

impl NodeConfig {
    /// The fields that differ in another configuration and take effect only after a restart.
    pub fn fields_needing_restart(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("seed", self.seed == other.seed),
            ("limits", self.budget == other.budget),
            ("settings", self.settings == other.settings),
            ("peers", self.peers == other.peers),
            ("fleet", self.fleet.is_some() == other.fleet.is_some()),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(field, _)| field).collect()
    }
}

/// Reads a configuration, completely or not at all.
///
/// # Errors
/// If it can't be read or used; the error names the field.
pub fn load(path: &Path) -> Result<NodeConfig, ConfigError> {
    load_with_view(path, false)
}

/// As [`load`]; `view` enables the fleet's view if the configuration does not mention the fleet.
///
/// # Errors
/// As [`load`].
pub fn load_with_view(path: &Path, view: bool) -> Result<NodeConfig, ConfigError> {
    parse(&std::fs::read(path)?, view)
}

fn parse(bytes: &[u8], view: bool) -> Result<NodeConfig, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let file: File = serde_path_to_error::deserialize(&mut json)?;
    json.end().map_err(ConfigError::Tail)?;
    refuse_renamed(&file)?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?;
    let settings = basaltward_platform_settings::parse(file.settings.get())?;
    let without_fleet = FleetFile {
        view,
        name: String::new(),
        operators: Vec::new(),
        permits: None,
        agreed: None,
        zones: Vec::new(),
    };
    let is_gossip_on = file.gossip && settings.peers && file.peers.len() <= MAX_PEERS;
    let peers = file.peer_listen.zip(file.peers_all).filter(|_| is_gossip_on);
    let peers = peers.map(|(listen, all)| Peers { listen, addresses: file.peers.clone(), group: all });
    let fleet = match Some(file.fleet.unwrap_or(without_fleet)).filter(|fleet| fleet.view) {
        None => None,
        Some(FleetFile { name, operators, permits, zones, .. }) => {
            let listen = file.peer_listen.ok_or(ConfigError::Fleet("peer_listen is missing"))?;
            if file.peers.len() <= settings.module.self_index as usize || file.peers.len() > MAX_PEERS {
                return Err(ConfigError::Fleet("peers has no entry for self_index, or too many entries"));
            }
            let version = permits.as_ref().map(|permits| permits.version.clone()).unwrap_or_default();
            let bounds = permits.map(|permits| permits.bounds);
            Some(FleetConfig {
                name,
                listen,
                peers: file.peers,
                operators,
                zones: number_names(&zones)?,
                bounds,
                version,
            })
        }
    };
    Ok(NodeConfig {
        name: file.name,
        listen: file.listen,
        seed,
        budget: Budget::new(file.limits.sockets, file.limits.memory_mb),
        bulletin: file.bulletin,
        known: file.known,
        settings,
        peers,
        fleet,
    })
}

/// Refuses keys by their old names: ignoring them would silently disable a feature.
fn refuse_renamed(file: &File) -> Result<(), ConfigError> {
    if file.words.is_some() {
        return Err(ConfigError::Renamed { old: "words", new: "gossip" });
    }
    match file.fleet.as_ref().is_some_and(|fleet| fleet.agreed.is_some()) {
        true => Err(ConfigError::Renamed { old: "fleet.agreed", new: "fleet.permits" }),
        false => Ok(()),
    }
}

/// Numbers the names in the order of their first occurrence.
fn number_names(names: &[String]) -> Result<Vec<u8>, ConfigError> {
    let mut seen: Vec<&String> = Vec::new();
    let mut number = |name| {
        let known = seen.iter().position(|known| *known == name);
        let index = known.unwrap_or_else(|| {
            seen.push(name);
            seen.len() - 1
        });
        u8::try_from(index).map_err(|_| ConfigError::Fleet("zones holds more than 256 names"))
    };
    names.iter().map(&mut number).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.4:10080","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":32,"sockets":256},"peers":[],"bulletin":"127.0.0.1:7070",
        "known":{"no":3,"items":[]},"settings":{"dcs":["a","b"],"familyInfo":{"machineMb":[4000.0],
        "staysLoadedUs":9000000},"limits":{"sendCap":3,"streamsPerConn":32,"idleCloseUs":30000000},
        "models":["m"],"replicasOfMe":2,"requestClasses":[{"name":"call","deadlineUs":2000000,
        "onTimeUs":500000,"repeat":"safe"}],"roundUs":1000,"rules":{"answerSlackUs":8000,"coldFrom":0.2,
        "fallUs":1500000,"tipMultiple":4.0,"warmWithinUs":16000000}}}"#;

    #[test]
    fn a_valid_configuration_is_read_and_errors_name_the_field() {
        let good = parse(GOOD.as_bytes(), false).expect("valid configuration");
        assert_eq!((good.name.as_str(), good.seed, good.known.no), ("n3", 0x8c1f_30d2_7a5b_e964, 3));
        assert_eq!((good.settings.classes, good.settings.links.streams), (vec!["call".to_owned()], 32));
        let wrong = [
            ("\"listen\":\"127.0.0.4:10080\"", "\"listen\":\"here\"", "listen"),
            ("\"seed\":\"8c1f30d27a5be964\",", "", "seed"),
            ("8c1f30d27a5be964", "x", "seed"),
            ("\"sockets\":256", "\"sockets\":-1", "limits.sockets"),
            ("\"repeat\":\"safe\"", "\"repeat\":\"never\"", "settings: repeat"),
            ("\"roundUs\":1000,", "", "roundUs"),
            ("\"onTimeUs\":500000", "\"onTimeUs\":0", "settings: class 0"),
            ("\"peers\":[]", "\"peers\":[],\"words\":true", "words is called gossip now"),
            (
                "\"peers\":[]",
                "\"peers\":[],\"fleet\":{\"view\":true,\"agreed\":{}}",
                "fleet.agreed is called fleet.permits now",
            ),
            ("\"peers\":[]", "\"peers\":[],\"fleet\":{\"view\":true}", "peer_listen"),
            (
                "\"peers\":[]",
                "\"peers\":[],\"fleet\":{\"view\":true},\"peer_listen\":\"127.0.0.4:1\"",
                "peers",
            ),
        ];
        for (from, to, named) in wrong {
            let error = parse(GOOD.replace(from, to).as_bytes(), false).expect_err(named).to_string();
            assert!(error.contains(named) && !error.contains('\n'), "{error}");
        }
        assert!(parse(&GOOD.as_bytes()[..200], false).is_err());
        let fleet = r#""peers":["127.0.0.4:1","127.0.0.4:2","127.0.0.4:3"],"peer_listen":"127.0.0.4:1","fleet":{
            "view":true,"zones":["west","east","west"],"permits":{"version":"a","bounds":{"workers":{"number":3}}}}"#;
        let fleet =
            parse(GOOD.replace("\"peers\":[]", fleet).as_bytes(), false).expect("valid configuration").fleet;
        let fleet = fleet.expect("the view is enabled");
        assert_eq!((fleet.zones, fleet.version.as_str()), (vec![0, 1, 0], "a"));
        let bounds = Bounds { workers: basaltward_permits::Limit::Number(3), ..Bounds::default() };
        assert_eq!(fleet.bounds, Some(bounds));
        let many: Vec<_> = (0..257).map(|name: u32| name.to_string()).collect();
        assert!(number_names(&many).is_err() && number_names(&many[..256]).is_ok());
    }
}
