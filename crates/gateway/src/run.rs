use crate::scheduler::{KILL, RUN, STOP, Scheduler};
use basaltward::SettingsError;
use basaltward_config::Config;
use basaltward_net::{NetError, Waker, bind};
use basaltward_rules::Recorder;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
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
    /// A loop has panicked.
    #[error("a loop has panicked")]
    Panicked,
}

/// A gateway whose loops run on threads of their own.
pub struct Gateway {
    address: SocketAddr,
    threads: Vec<(Waker, JoinHandle<Result<(), NetError>>)>,
    wanted: Arc<AtomicU8>,
}

impl Gateway {
    /// Binds the listeners and starts a loop for each thread. With port 0 the system chooses one, the same
    /// for all loops.
    ///
    /// # Errors
    /// Where the address, a descriptor or a thread can't be had.
    pub fn start(config: &Config, recorder: &Recorder) -> Result<Self, GatewayError> {
        let wanted = Arc::new(AtomicU8::new(RUN));
        let first = bind(config.listen, config.threads > 1)?;
        let address = first.local_addr().map_err(NetError::from)?;
        let mut listeners = vec![first];
        for _ in 1..config.threads {
            listeners.push(bind(address, true)?);
        }
        let mut threads = Vec::new();
        for (thread, listener) in listeners.into_iter().enumerate() {
            let scheduler =
                Scheduler::new(config, thread as u32, listener, recorder.clone(), wanted.clone())?;
            let waker = scheduler.waker();
            let name = format!("{}-{thread}", config.name);
            threads.push((waker, std::thread::Builder::new().name(name).spawn(move || scheduler.run())?));
        }
        Ok(Self { address, threads, wanted })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn want(&self, what: u8) {
        self.wanted.store(what, Ordering::Relaxed);
        self.threads.iter().for_each(|(waker, _)| waker.wake());
    }

    /// Has it accept no more, finish what is in hand within its deadlines, and end.
    pub fn stop(&self) {
        self.want(STOP);
    }

    /// Has it end at once, as a killed process would: connections break, calls in hand get no answer.
    pub fn kill(&self) {
        self.want(KILL);
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
        Ok(())
    }
}
