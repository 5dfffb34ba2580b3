use crate::control::{Control, END, shed_settings};
use crate::mail::Mail;
use crate::scheduler::{KILL, Orders, RUN, STOP, Scheduler};
use crate::sites::Sites;
use crate::tables::{Tables, rings};
use basaltward::{Micros, Repeat, SettingsError};
use basaltward_config::Config;
use basaltward_net::{Io, IoLimits, NetError, Waker, bind, monotonic};
use basaltward_peers::PeerError;
use basaltward_rules::Recorder;
use basaltward_shed::ShedError;
use basaltward_site_routing::RoutingError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;

/// Why a gateway can't start or had to end.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The system refused something.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The module can't decide by the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A thread can't be started.
    #[error("thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The sites' sockets.
    #[error("sites: {0}")]
    Peers(#[from] PeerError),
    /// The choice of sites.
    #[error("sites: {0}")]
    Route(#[from] RoutingError),
    /// The door.
    #[error("sites: {0}")]
    Shed(#[from] ShedError),
    /// We are not among the peers.
    #[error("sites: our number is not among the peers; name this gateway as one of them")]
    Sites,
    /// A loop has panicked.
    #[error("a loop has panicked")]
    Panicked,
}

/// A loop may turn to the next span of known events this late.
const SLACK_US: u64 = 1_000_000;

/// What the loops of a gateway know of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loops {
    /// Each event has one owner among them.
    Joined,
    /// Nothing: an event runs once for each loop that hears of it. For measurements of what joining costs, and
    /// to show that the checker sees it.
    Apart,
}

/// A gateway whose loops run on threads of their own.
pub struct Gateway {
    address: SocketAddr,
    threads: Vec<(Waker, JoinHandle<Result<(), NetError>>)>,
    wanted: Arc<AtomicU8>,
    stalls: Vec<Arc<AtomicU64>>,
    control: Option<ControlThread>,
}

/// The thread beside the loops, where there are sites.
struct ControlThread {
    waker: Waker,
    thread: JoinHandle<Result<(), NetError>>,
    wanted: Arc<AtomicU8>,
    stall: Arc<AtomicU64>,
}

impl Gateway {
    /// Binds the listeners and starts a loop for each thread. With port 0 the system chooses one, the same
    /// for all loops.
    ///
    /// # Errors
    /// Where the address, a descriptor or a thread can't be had.
    pub fn start(config: &Config, recorder: &Recorder) -> Result<Self, GatewayError> {
        Self::start_as(config, recorder, Loops::Joined)
    }

    /// As [`Gateway::start`], with what its loops know of one another.
    ///
    /// # Errors
    /// As [`Gateway::start`].
    pub fn start_as(config: &Config, recorder: &Recorder, loops: Loops) -> Result<Self, GatewayError> {
        let wanted = Arc::new(AtomicU8::new(RUN));
        let first = bind(config.listen, config.threads > 1)?;
        let address = first.local_addr().map_err(NetError::from)?;
        let mut listeners = vec![first];
        for _ in 1..config.threads {
            listeners.push(bind(address, true)?);
        }
        let limits = IoLimits { connections: config.front.connections, ..IoLimits::default() };
        let ios = listeners.iter().map(|_| Io::new(limits)).collect::<Result<Vec<_>, _>>()?;
        let wakers: Vec<_> = ios.iter().map(Io::waker).collect();
        let windows = config.module.classes.iter().map(|class| match class.repeat {
            Repeat::Keyed { window, .. } => window,
            _ => 0,
        });
        let span = windows.fold(config.repeats.remember, u64::max) + SLACK_US;
        let mail = match loops {
            Loops::Joined => Mail::join(&wakers, span),
            Loops::Apart => {
                wakers.iter().flat_map(|waker| Mail::join(std::slice::from_ref(waker), span)).collect()
            }
        };
        let (control, mut sites) = Self::control(config, &wakers, span, recorder)?;
        let (mut threads, mut stalls) = (Vec::new(), Vec::new());
        let ends = listeners.into_iter().zip(ios.into_iter().zip(mail)).zip(wakers);
        for (thread, ((listener, end), waker)) in ends.enumerate() {
            let orders = Orders { wanted: wanted.clone(), stall: Arc::default() };
            stalls.push(orders.stall.clone());
            let scheduler = Scheduler::new(
                config,
                thread as u32,
                end,
                (listener, sites.next()),
                recorder.clone(),
                orders,
            )?;
            let name = format!("{}-{thread}", config.name);
            threads.push((waker, std::thread::Builder::new().name(name).spawn(move || scheduler.run())?));
        }
        Ok(Self { address, threads, wanted, stalls, control })
    }

    /// The control thread and each loop's part in the sites, where the settings name some.
    fn control(
        config: &Config,
        wakers: &[Waker],
        span: Micros,
        recorder: &Recorder,
    ) -> Result<(Option<ControlThread>, std::vec::IntoIter<Sites>), GatewayError> {
        let Some(sites) = &config.sites else { return Ok((None, Vec::new().into_iter())) };
        let io = Io::new(IoLimits::default())?;
        let (waker, tables) = (io.waker(), Arc::new(Tables::new(span)));
        let shed = shed_settings(config, sites).ok_or(GatewayError::Sites)?;
        let (mut ours, mut theirs) = (Vec::new(), Vec::new());
        for (thread, loop_waker) in wakers.iter().enumerate() {
            let (end, control) = rings(waker.clone(), loop_waker.clone());
            ours.push(control);
            let part = Sites::new(config, &shed, thread as u32, (tables.clone(), end), monotonic());
            theirs.extend(part);
        }
        let (wanted, stall) = (Arc::new(AtomicU8::new(RUN)), Arc::<AtomicU64>::default());
        let flags = (wanted.clone(), stall.clone());
        let control = Control::open(config, sites, io, (ours, tables), flags, recorder.clone())?;
        let name = format!("{}-control", config.name);
        let thread = std::thread::Builder::new().name(name).spawn(move || control.run())?;
        Ok((Some(ControlThread { waker, thread, wanted, stall }), theirs.into_iter()))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn want(&self, what: u8) {
        self.wanted.store(what, Ordering::Relaxed);
        self.threads.iter().for_each(|(waker, _)| waker.wake());
        self.control.iter().for_each(|control| control.want(what));
    }

    /// Has it accept no more, finish what is in hand within its deadlines, and end.
    pub fn stop(&self) {
        self.want(STOP);
    }

    /// Has it end at once, as a killed process would: connections break, calls in hand get no answer.
    pub fn kill(&self) {
        self.want(KILL);
    }

    /// Has a loop do nothing for so long, as if the machine had stopped its thread: a fault for tests and
    /// scripted days. It has begun when this returns.
    pub fn stall(&self, thread: usize, span: Duration) {
        if let (Some(stall), Some((waker, thread))) = (self.stalls.get(thread), self.threads.get(thread)) {
            stall.store(span.as_micros() as u64, Ordering::Relaxed);
            waker.wake();
            while stall.load(Ordering::Relaxed) > 0 && !thread.is_finished() {
                std::thread::yield_now();
            }
        }
    }

    /// Has the control thread do nothing for so long: a fault for tests. Calls are served meanwhile.
    pub fn stall_control(&self, span: Duration) {
        if let Some(control) = &self.control {
            control.stall.store(span.as_micros() as u64, Ordering::Relaxed);
            control.waker.wake();
        }
    }

    /// Whether all its loops have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(|(_, thread)| thread.is_finished())
    }

    /// Waits for its loops to end.
    ///
    /// # Errors
    /// What ended the first loop that failed.
    pub fn join(self) -> Result<(), GatewayError> {
        for (_, thread) in self.threads {
            thread.join().map_err(|_| GatewayError::Panicked)??;
        }
        if let Some(control) = self.control {
            control.want(END);
            control.thread.join().map_err(|_| GatewayError::Panicked)??;
        }
        Ok(())
    }
}

impl ControlThread {
    fn want(&self, what: u8) {
        self.wanted.store(what, Ordering::Relaxed);
        self.waker.wake();
    }
}
