//! A harness that runs gateways and a fleet of fake workers in this process, with their files in a temporary directory.

use basaltward::{Group, Repeat, WorkerState};
use basaltward_config::Config;
use basaltward_fakes::{Fleet, FleetError, StoreSpec, WorkerSpec};
use basaltward_gateway::{Gateway, GatewayError, LoopMode};
use basaltward_net::Clock;
use basaltward_roster::{Entry, Names, write};
use basaltward_rules::{ClassRule, Recorder, RepeatRule, RuleSettings};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// Errors of starting, running or stopping a harness.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file or directory could not be created or written.
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    /// The fleet of fake workers failed.
    #[error("workers: {0}")]
    Fleet(#[from] FleetError),
    /// A gateway failed.
    #[error("gateway: {0}")]
    Gateway(#[from] GatewayError),
}

/// A temporary directory, removed with its content when the value is dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty directory with a unique name in the system's temporary directory.
    ///
    /// # Errors
    /// If the directory can't be created.
    pub fn new() -> std::io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let unique = format!("basaltward-{}-{}-{number}", std::process::id(), basaltward_net::monotonic());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A roster file with the workers of the fleet.
pub struct RosterFile {
    path: PathBuf,
    names: Names,
    /// The entries, in the order of the workers in the fleet.
    pub entries: Vec<Entry>,
}

impl RosterFile {
    fn new(path: PathBuf, names: Names, workers: &[SocketAddr]) -> std::io::Result<Self> {
        let entry = |address: &SocketAddr| Entry {
            address: address.to_string(),
            state: WorkerState::Active,
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

    /// Replaces the file atomically.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn save(&self) -> std::io::Result<()> {
        write(&self.path, &self.names, &self.entries)
    }

    /// Writes an empty list to the file; `entries` stays unchanged.
    ///
    /// # Errors
    /// As [`RosterFile::save`].
    pub fn save_empty(&self) -> std::io::Result<()> {
        write(&self.path, &self.names, &[])
    }

    /// Sets a worker's state and saves the file.
    ///
    /// # Errors
    /// As [`RosterFile::save`].
    pub fn set_state(&mut self, worker: usize, state: WorkerState) -> std::io::Result<()> {
        self.entries[worker].state = state;
        self.save()
    }

    /// Sets a worker active, with a start time in microseconds since 1970, and saves the file.
    ///
    /// # Errors
    /// As [`RosterFile::save`].
    pub fn set_restarted(&mut self, worker: usize, wall: u64) -> std::io::Result<()> {
        let entry = &mut self.entries[worker];
        (entry.state, entry.started) = (WorkerState::Active, Some(wall));
        self.save()
    }
}

/// The wall-clock time, in microseconds since 1970.
pub(crate) fn wall_time() -> u64 {
    Clock::read().wall()
}

/// Gateways with a fleet of fake workers and its roster file.
pub struct Harness {
    /// Settings of the first gateway; those of the others differ in index, name and address.
    pub config: Config,
    /// The fake workers.
    pub fleet: Fleet,
    /// The roster file that lists the workers.
    pub roster: RosterFile,
    /// The gateways; `None` for one that is down.
    pub gateways: Vec<Option<Gateway>>,
    /// The address of each gateway, also while it is down.
    pub addresses: Vec<SocketAddr>,
    /// Records of the traffic between clients, gateways and workers.
    pub recorder: Recorder,
    /// Whether the loops of a gateway coordinate.
    loop_mode: LoopMode,
    _dir: TempDir,
}

impl Harness {
    /// Starts a fleet with a worker for each spec, and `gateways` gateways with the settings `config`.
    /// The system chooses the ports, except the gateway's if `config` has several sites.
    ///
    /// # Errors
    /// If the fleet, a gateway or the roster file can't be set up.
    pub fn start(
        config: &Config,
        gateways: u32,
        specs: Vec<WorkerSpec>,
        recorder: Recorder,
    ) -> Result<Self, HarnessError> {
        Self::start_with_mode(config, gateways, specs, recorder, LoopMode::Coordinated)
    }

    /// Like [`Harness::start`], with a choice of whether the loops of a gateway coordinate.
    ///
    /// # Errors
    /// As [`Harness::start`].
    pub fn start_with_mode(
        config: &Config,
        gateways: u32,
        specs: Vec<WorkerSpec>,
        recorder: Recorder,
        loop_mode: LoopMode,
    ) -> Result<Self, HarnessError> {
        let dir = TempDir::new()?;
        let config = Config {
            roster_file: dir.path().join("roster.xml"),
            // With several sites the others are configured with this address, so it can't be chosen here.
            listen: config.sites.as_ref().map_or(([127, 0, 0, 1], 0).into(), |_| config.listen),
            gateway_count: gateways,
            ..config.clone()
        };
        let fleet = Fleet::start(specs, &[], StoreSpec::default(), recorder.clone())?;
        let names = Names { kinds: config.worker_kinds.clone(), zones: config.zones.clone() };
        let roster = RosterFile::new(config.roster_file.clone(), names, fleet.addresses())?;
        let mut harness = Self {
            config,
            fleet,
            roster,
            gateways: Vec::new(),
            addresses: Vec::new(),
            recorder,
            loop_mode,
            _dir: dir,
        };
        for index in 0..gateways {
            harness.addresses.push(harness.config.listen);
            harness.gateways.push(None);
            harness.start_gateway(index as usize)?;
        }
        Ok(harness)
    }

    /// Starts a gateway that is down, at its former address if it had one.
    ///
    /// # Errors
    /// If the gateway can't be started.
    pub fn start_gateway(&mut self, index: usize) -> Result<(), HarnessError> {
        let config = Config {
            gateway_index: index as u32,
            name: format!("gateway-{index}"),
            listen: self.addresses[index],
            ..self.config.clone()
        };
        let gateway = Gateway::start_with_mode(&config, &self.recorder, self.loop_mode)?;
        self.addresses[index] = gateway.address();
        self.gateways[index] = Some(gateway);
        Ok(())
    }

    /// Removes a gateway and returns it, for the caller to stop or kill; `None` if it is down.
    pub fn take_gateway(&mut self, index: usize) -> Option<Gateway> {
        self.gateways.get_mut(index)?.take()
    }

    /// Stops the gateways, which finish their calls first, and then the fleet.
    ///
    /// # Errors
    /// If the event loop of a gateway or of the fleet failed.
    pub fn stop(self) -> Result<(), HarnessError> {
        for gateway in self.gateways.iter().flatten() {
            gateway.stop();
        }
        for gateway in self.gateways.into_iter().flatten() {
            gateway.join()?;
        }
        self.fleet.stop()?;
        Ok(())
    }
}

/// The settings of the rule checker that follow from a gateway's settings and its roster.
pub fn rule_settings(config: &Config, roster: &[Entry]) -> RuleSettings {
    let class = |(name, class): (&String, &basaltward::Class)| {
        let repeat = match class.repeat {
            Repeat::Safe => RepeatRule::Safe,
            Repeat::Unsafe => RepeatRule::Unsafe,
            Repeat::Keyed { group, window } => RepeatRule::Keyed { window, all: group == Group::All },
        };
        let rule = ClassRule { repeat, aim: class.aim, value: class.value, late_share: class.late_value };
        (name.clone(), rule)
    };
    let grouped_by_cell = config
        .controller
        .classes
        .iter()
        .any(|c| matches!(c.repeat, Repeat::Keyed { group: Group::Cell, .. }));
    let (family, rules) = (&config.controller.copies, &config.controller.rules);
    RuleSettings {
        classes: config.classes.iter().zip(&config.controller.classes).map(class).collect(),
        groups: roster
            .iter()
            .map(|e| (e.address.clone(), if grouped_by_cell { e.cell } else { e.zone as u64 }))
            .collect(),
        drain_grace: config.drain_grace,
        load_window: family.load_window,
        load_free: family.load_free,
        load_share: family.load_share,
        initial_capacity_share: rules.cold_from,
        warm_up_time: rules.warm_within,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_span,
    }
}
