//! Gateways and a fleet in this process, with their files in a folder of their own.

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

/// Why a bed can't be made or ended badly.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file or folder can't be had.
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    /// The fleet.
    #[error("workers: {0}")]
    Fleet(#[from] FleetError),
    /// A gateway.
    #[error("gateway: {0}")]
    Gateway(#[from] GatewayError),
}

/// A folder for temporary files that goes with the value.
pub struct TempDir(PathBuf);

impl TempDir {
    /// A fresh folder.
    ///
    /// # Errors
    /// Where the system's place for temporary files can't be written.
    pub fn new() -> std::io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let unique = format!("basaltward-{}-{}-{number}", std::process::id(), basaltward_net::monotonic());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The fleet's workers as a roster file lists them.
pub struct RosterFile {
    path: PathBuf,
    names: Names,
    /// The entries, by position in the fleet.
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

    /// Writes the file in one step.
    ///
    /// # Errors
    /// Where the folder can't be written.
    pub fn save(&self) -> std::io::Result<()> {
        write(&self.path, &self.names, &self.entries)
    }

    /// Writes an empty list, without forgetting the entries.
    ///
    /// # Errors
    /// As [`Roster::save`].
    pub fn save_empty(&self) -> std::io::Result<()> {
        write(&self.path, &self.names, &[])
    }

    /// Lists a worker in this state.
    ///
    /// # Errors
    /// As [`Roster::save`].
    pub fn set_state(&mut self, worker: usize, state: WorkerState) -> std::io::Result<()> {
        self.entries[worker].state = state;
        self.save()
    }

    /// Lists a worker as started at this wall time.
    ///
    /// # Errors
    /// As [`Roster::save`].
    pub fn set_restarted(&mut self, worker: usize, wall: u64) -> std::io::Result<()> {
        let entry = &mut self.entries[worker];
        (entry.state, entry.started) = (WorkerState::Active, Some(wall));
        self.save()
    }
}

/// The wall clock, in microseconds since 1970.
pub(crate) fn wall() -> u64 {
    Clock::read().wall()
}

/// A fleet with its roster, and gateways on top.
pub struct Harness {
    /// Settings of the first gateway; the others differ in their number and address.
    pub config: Config,
    /// The workers.
    pub fleet: Fleet,
    /// Their list.
    pub roster: RosterFile,
    /// The gateways, by position; `None` for one that is down.
    pub gateways: Vec<Option<Gateway>>,
    /// Where each listens, also while it is down.
    pub addresses: Vec<SocketAddr>,
    /// What crossed the sockets.
    pub recorder: Recorder,
    /// What the loops of a gateway know of one another.
    loops: LoopMode,
    _folder: TempDir,
}

impl Harness {
    /// Starts a fleet by `specs`, and `gateways` of them by `config`, all on ports that the system chooses.
    ///
    /// # Errors
    /// Where any of them can't start.
    pub fn start(
        config: &Config,
        gateways: u32,
        specs: Vec<WorkerSpec>,
        recorder: Recorder,
    ) -> Result<Self, HarnessError> {
        Self::start_with_mode(config, gateways, specs, recorder, LoopMode::Coordinated)
    }

    /// As [`Bed::start`], with what the loops of each gateway know of one another.
    ///
    /// # Errors
    /// As [`Bed::start`].
    pub fn start_with_mode(
        config: &Config,
        gateways: u32,
        specs: Vec<WorkerSpec>,
        recorder: Recorder,
        loops: LoopMode,
    ) -> Result<Self, HarnessError> {
        let folder = TempDir::new()?;
        let config = Config {
            roster_file: folder.path().join("roster.xml"),
            // Other sites have to know the address before.
            listen: config.sites.as_ref().map_or(([127, 0, 0, 1], 0).into(), |_| config.listen),
            gateway_count: gateways,
            ..config.clone()
        };
        let fleet = Fleet::start(specs, &[], StoreSpec::default(), recorder.clone())?;
        let names = Names { kinds: config.worker_kinds.clone(), zones: config.zones.clone() };
        let roster = RosterFile::new(config.roster_file.clone(), names, fleet.addresses())?;
        let mut bed = Self {
            config,
            fleet,
            roster,
            gateways: Vec::new(),
            addresses: Vec::new(),
            recorder,
            loops,
            _folder: folder,
        };
        for index in 0..gateways {
            bed.addresses.push(bed.config.listen);
            bed.gateways.push(None);
            bed.start_gateway(index as usize)?;
        }
        Ok(bed)
    }

    /// Starts a gateway that is down, under its former address if it had one.
    ///
    /// # Errors
    /// Where it can't start.
    pub fn start_gateway(&mut self, index: usize) -> Result<(), HarnessError> {
        let config = Config {
            gateway_index: index as u32,
            name: format!("gateway-{index}"),
            listen: self.addresses[index],
            ..self.config.clone()
        };
        let gateway = Gateway::start_with_mode(&config, &self.recorder, self.loops)?;
        self.addresses[index] = gateway.address();
        self.gateways[index] = Some(gateway);
        Ok(())
    }

    /// Takes a gateway out, to be stopped or killed by the caller.
    pub fn take_gateway(&mut self, index: usize) -> Option<Gateway> {
        self.gateways.get_mut(index)?.take()
    }

    /// Stops everything: gateways finish what they have first.
    ///
    /// # Errors
    /// Where a loop had failed.
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

/// What the checker needs of a gateway's settings.
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
    let cells = config
        .controller
        .classes
        .iter()
        .any(|c| matches!(c.repeat, Repeat::Keyed { group: Group::Cell, .. }));
    let (family, rules) = (&config.controller.copies, &config.controller.rules);
    RuleSettings {
        classes: config.classes.iter().zip(&config.controller.classes).map(class).collect(),
        groups: roster
            .iter()
            .map(|e| (e.address.clone(), if cells { e.cell } else { e.zone as u64 }))
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
