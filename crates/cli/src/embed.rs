//! Gateways and stand-ins embedded in this process, with their files in a folder of their own.

use crate::Failed;
use basaltward::State;
use basaltward_config::Config;
use basaltward_gateway::Gateway;
use basaltward_net::Clock;
use basaltward_roster::{Entry, Names, write};
use basaltward_rules::Recorder;
use basaltward_standins::{Fleet, StoreSpec, WorkerSpec};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A folder that goes with the value.
pub struct Folder(PathBuf);

impl Folder {
    /// A fresh folder under the system's place for temporary files.
    pub fn new(what: &str) -> std::io::Result<Self> {
        let unique = format!("basaltward-{what}-{}-{}", std::process::id(), basaltward_net::monotonic());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A roster of the fleet's workers, kept in a file.
pub struct Roster {
    path: PathBuf,
    names: Names,
    pub entries: Vec<Entry>,
}

impl Roster {
    /// Lists all workers as active and started long ago.
    pub fn new(path: PathBuf, names: Names, workers: &[SocketAddr]) -> std::io::Result<Self> {
        let entry = |address: &SocketAddr| Entry {
            address: address.to_string(),
            state: State::Active,
            started: None,
            kind: 0,
            zone: 0,
            cell: 0,
            size: 1.0,
        };
        let roster = Self { path, names, entries: workers.iter().map(entry).collect() };
        roster.save()?;
        Ok(roster)
    }

    /// Writes the file.
    pub fn save(&self) -> std::io::Result<()> {
        write(&self.path, &self.names, &self.entries)
    }

    /// Lists a worker as started just now.
    pub fn restarted(&mut self, worker: usize) {
        let entry = &mut self.entries[worker];
        (entry.state, entry.started) = (State::Active, Some(Clock::read().wall()));
    }
}

/// Starts a fleet and lists it in a roster file.
pub fn fleet(
    specs: Vec<WorkerSpec>,
    config: &Config,
    recorder: &Recorder,
) -> Result<(Fleet, Roster), Failed> {
    let fleet = Fleet::start(specs, &[], StoreSpec::default(), recorder.clone())?;
    let names = Names { kinds: config.kinds.clone(), zones: config.zones.clone() };
    let roster = Roster::new(config.roster.clone(), names, fleet.addresses())?;
    Ok((fleet, roster))
}

/// Starts a gateway that listens where the system chooses.
pub fn gateway(config: &Config, recorder: &Recorder) -> Result<Gateway, Failed> {
    let config = Config { listen: ([127, 0, 0, 1], 0).into(), ..config.clone() };
    Ok(Gateway::start(&config, recorder)?)
}
