//! The gateway's threads: starts a loop for each thread and the control thread, and stops them.

use crate::channels::LoopChannels;
use crate::control::{Control, EXIT, shed_settings};
use crate::scheduler::{Controls, KILL, RUN, STOP, Scheduler};
use crate::sites::Sites;
use crate::tables::{Tables, control_rings};
use basaltward::{Micros, Repeat, SettingsError};
use basaltward_admission::AdmissionError;
use basaltward_config::Config;
use basaltward_net::{Io, IoLimits, NetError, Waker, bind, monotonic};
use basaltward_peers::PeerError;
use basaltward_rules::Recorder;
use basaltward_site_routing::RoutingError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;

/// Errors that keep a gateway from starting or end it.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A system call failed.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The scheduling module rejected the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A thread can't be started.
    #[error("thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The sockets between sites could not be opened.
    #[error("sites: {0}")]
    Peers(#[from] PeerError),
    /// Routing between sites rejected its settings.
    #[error("sites: {0}")]
    Route(#[from] RoutingError),
    /// Admission rejected its settings.
    #[error("sites: {0}")]
    Shed(#[from] AdmissionError),
    /// This gateway is not among the configured peers.
    #[error("sites: this gateway's own number is not among the peers; list this gateway as one of them")]
    NotAPeer,
    /// A loop or the control thread has panicked.
    #[error("a loop has panicked")]
    Panicked,
}

/// Added to the retention of seen events, in microseconds: a loop may start its next retention span this late.
const RECORD_SLACK_US: u64 = 1_000_000;

/// How the loops of a gateway coordinate on events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopMode {
    /// Each event is owned by one loop, which recognises repeats of it.
    Coordinated,
    /// No coordination: an event runs once for each loop that receives it. For measuring the cost of coordination,
    /// and for showing that the checker detects its absence.
    Independent,
}

/// A running gateway, each of whose loops has its own thread.
pub struct Gateway {
    address: SocketAddr,
    threads: Vec<(Waker, JoinHandle<Result<(), NetError>>)>,
    command: Arc<AtomicU8>,
    stalls: Vec<Arc<AtomicU64>>,
    control: Option<ControlThread>,
}

/// The control thread, which exists if the settings name sites.
struct ControlThread {
    waker: Waker,
    thread: JoinHandle<Result<(), NetError>>,
    command: Arc<AtomicU8>,
    stall: Arc<AtomicU64>,
}

impl Gateway {
    /// Binds the listeners and starts a loop for each thread. With port 0 the system chooses a port, the same for all
    /// loops.
    ///
    /// # Errors
    /// If the address can't be bound, a descriptor or thread can't be created, or the settings are not usable.
    pub fn start(config: &Config, recorder: &Recorder) -> Result<Self, GatewayError> {
        Self::start_with_mode(config, recorder, LoopMode::Coordinated)
    }

    /// Like [`Gateway::start`], with this coordination of the loops.
    ///
    /// # Errors
    /// As [`Gateway::start`].
    pub fn start_with_mode(
        config: &Config,
        recorder: &Recorder,
        mode: LoopMode,
    ) -> Result<Self, GatewayError> {
        let command = Arc::new(AtomicU8::new(RUN));
        let first = bind(config.listen, config.threads > 1)?;
        let address = first.local_addr().map_err(NetError::from)?;
        let mut listeners = vec![first];
        for _ in 1..config.threads {
            listeners.push(bind(address, true)?);
        }
        let limits = IoLimits { connections: config.client_limits.connections, ..IoLimits::default() };
        let ios = listeners.iter().map(|_| Io::new(limits)).collect::<Result<Vec<_>, _>>()?;
        let wakers: Vec<_> = ios.iter().map(Io::waker).collect();
        let windows = config.controller.classes.iter().map(|class| match class.repeat {
            Repeat::Keyed { window, .. } => window,
            _ => 0,
        });
        let retention = windows.fold(config.repeats.retention, u64::max) + RECORD_SLACK_US;
        let channels = match mode {
            LoopMode::Coordinated => LoopChannels::connect(&wakers, retention),
            LoopMode::Independent => wakers
                .iter()
                .flat_map(|waker| LoopChannels::connect(std::slice::from_ref(waker), retention))
                .collect(),
        };
        let (control, mut sites) = Self::start_control(config, &wakers, retention, recorder)?;
        let (mut threads, mut stalls) = (Vec::new(), Vec::new());
        let ends = listeners.into_iter().zip(ios.into_iter().zip(channels)).zip(wakers);
        for (thread, ((listener, end), waker)) in ends.enumerate() {
            let controls = Controls { command: command.clone(), stall_us: Arc::default() };
            stalls.push(controls.stall_us.clone());
            let scheduler = Scheduler::new(
                config,
                thread as u32,
                end,
                (listener, sites.next()),
                recorder.clone(),
                controls,
            )?;
            let name = format!("{}-{thread}", config.name);
            threads.push((waker, std::thread::Builder::new().name(name).spawn(move || scheduler.run())?));
        }
        Ok(Self { address, threads, command, stalls, control })
    }

    /// Starts the control thread and creates each loop's state of calls at other sites, if the settings name sites.
    fn start_control(
        config: &Config,
        wakers: &[Waker],
        retention: Micros,
        recorder: &Recorder,
    ) -> Result<(Option<ControlThread>, std::vec::IntoIter<Sites>), GatewayError> {
        let Some(sites) = &config.sites else { return Ok((None, Vec::new().into_iter())) };
        let io = Io::new(IoLimits::default())?;
        let (waker, tables) = (io.waker(), Arc::new(Tables::new(retention)));
        let shed = shed_settings(config, sites).ok_or(GatewayError::NotAPeer)?;
        let (mut control_ends, mut loop_sites) = (Vec::new(), Vec::new());
        for (thread, loop_waker) in wakers.iter().enumerate() {
            let (end, control) = control_rings(waker.clone(), loop_waker.clone());
            control_ends.push(control);
            let part = Sites::new(config, &shed, thread as u32, (tables.clone(), end), monotonic());
            loop_sites.extend(part);
        }
        let (command, stall) = (Arc::new(AtomicU8::new(RUN)), Arc::<AtomicU64>::default());
        let flags = (command.clone(), stall.clone());
        let control = Control::open(config, sites, io, (control_ends, tables), flags, recorder.clone())?;
        let name = format!("{}-control", config.name);
        let thread = std::thread::Builder::new().name(name).spawn(move || control.run())?;
        Ok((Some(ControlThread { waker, thread, command, stall }), loop_sites.into_iter()))
    }

    /// The address of the listeners.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command to all loops and the control thread.
    fn send_command(&self, command: u8) {
        self.command.store(command, Ordering::Relaxed);
        self.threads.iter().for_each(|(waker, _)| waker.wake());
        self.control.iter().for_each(|control| control.send_command(command));
    }

    /// Stops the gateway gracefully: it accepts no more connections, finishes the calls in flight within their
    /// deadlines, and ends.
    pub fn stop(&self) {
        self.send_command(STOP);
    }

    /// Ends the gateway at once, as a killed process would: connections break, and calls in flight get no answer.
    pub fn kill(&self) {
        self.send_command(KILL);
    }

    /// Suspends a loop for `span`, as if the machine had stopped its thread: a fault for tests and scripted scenarios.
    /// The suspension has begun when this returns.
    pub fn stall(&self, thread: usize, span: Duration) {
        if let (Some(stall), Some((waker, thread))) = (self.stalls.get(thread), self.threads.get(thread)) {
            stall.store(span.as_micros() as u64, Ordering::Relaxed);
            waker.wake();
            while stall.load(Ordering::Relaxed) > 0 && !thread.is_finished() {
                std::thread::yield_now();
            }
        }
    }

    /// Suspends the control thread for `span`: a fault for tests. Calls are served meanwhile.
    pub fn stall_control(&self, span: Duration) {
        if let Some(control) = &self.control {
            control.stall.store(span.as_micros() as u64, Ordering::Relaxed);
            control.waker.wake();
        }
    }

    /// Whether all loops have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(|(_, thread)| thread.is_finished())
    }

    /// Waits for the loops to end, then stops the control thread.
    ///
    /// # Errors
    /// The error of the first thread that failed.
    pub fn join(self) -> Result<(), GatewayError> {
        for (_, thread) in self.threads {
            thread.join().map_err(|_| GatewayError::Panicked)??;
        }
        if let Some(control) = self.control {
            control.send_command(EXIT);
            control.thread.join().map_err(|_| GatewayError::Panicked)??;
        }
        Ok(())
    }
}

impl ControlThread {
    fn send_command(&self, command: u8) {
        self.command.store(command, Ordering::Relaxed);
        self.waker.wake();
    }
}
