//! A bulletin that tells what a test says, and fails as it says.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Default)]
struct State {
    /// Events after those that a scheduler knows from its start, in order; the first has this number.
    first: u64,
    events: Vec<String>,
    open: Vec<TcpStream>,
    /// Connections that stand and are told nothing any more.
    hushed: Vec<TcpStream>,
    /// What each connection asked.
    asked: Vec<String>,
    silent: bool,
    /// Nobody is accepted.
    down: bool,
    over: bool,
}

impl State {
    fn last(&self) -> u64 {
        self.first + self.events.len() as u64 - 1
    }

    /// Keeps one more event that holds a change; gives its line.
    fn hold(&mut self, targets: &str) -> String {
        self.hold_as(targets, false)
    }

    /// The same, of a change or of the whole list.
    fn hold_as(&mut self, targets: &str, all: bool) -> String {
        let no = self.last() + 1;
        let event =
            format!("{{\"no\":{no},\"roster\":{{\"rev\":{no},\"all\":{all},\"targets\":[{targets}]}}}}\n");
        self.events.push(event.clone());
        event
    }

    fn say(&mut self, text: &str) {
        if !self.silent {
            self.open.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
        }
    }
}

/// A stand-in bulletin.
pub struct FakeBulletin {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    accepts: Mutex<Option<JoinHandle<()>>>,
}

fn lock(state: &(Mutex<State>, Condvar)) -> MutexGuard<'_, State> {
    state.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeBulletin {
    /// A bulletin whose next event has this number.
    ///
    /// # Errors
    /// Where the system refuses a socket.
    pub fn start(first: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new((Mutex::new(State { first, ..State::default() }), Condvar::new()));
        let (accepts, ticking) = (accept(state.clone(), listener), state.clone());
        std::thread::spawn(move || {
            let mut state = lock(&ticking);
            while !state.over {
                let text = format!("{{\"no\":{}}}\n", state.last());
                state.say(&text);
                let waited = ticking.1.wait_timeout(state, Duration::from_secs(1));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        });
        Ok(Self { address, state, accepts: Mutex::new(Some(accepts)) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells one more event; `targets` are its entries, as JSON.
    pub fn publish(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.hold(targets);
        state.say(&event);
    }

    /// Tells one more event that holds the whole list.
    pub fn publish_full_list(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.hold_as(targets, true);
        state.say(&event);
    }

    /// Holds one more event, tells the first half of its line and nothing more on the connections that stand, which it
    /// leaves open.
    pub fn stall_mid_event(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.hold(targets);
        state.say(&event[..event.len() / 2]);
        let mut open = std::mem::take(&mut state.open);
        state.hushed.append(&mut open);
    }

    /// Tells several events in one write.
    pub fn publish_batch(&self, events: &[&str]) {
        let mut state = lock(&self.state);
        let text: String = events.iter().map(|targets| state.hold(targets)).collect();
        state.say(&text);
    }

    /// Holds one more event, tells the first half of its line and ends every connection, by a reset where told so.
    pub fn disconnect_mid_event(&self, targets: &str, reset: bool) {
        let mut state = lock(&self.state);
        let event = state.hold(targets);
        state.say(&event[..event.len() / 2]);
        for stream in state.open.drain(..) {
            if reset {
                let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            }
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Speaks again after [`Board::silence`]: tells all events on every connection that stands, so late.
    pub fn resume_and_resend(&self) {
        let mut state = lock(&self.state);
        state.silent = false;
        let text = state.events.concat();
        state.say(&text);
    }

    /// Connections that have asked and that their scheduler has not ended.
    pub fn open_connections(&self) -> usize {
        let state = lock(&self.state);
        state.open.iter().chain(&state.hushed).filter(|stream| stands(stream)).count()
    }

    /// Writes these bytes to whoever listens.
    pub fn send_raw(&self, text: &str) {
        lock(&self.state).say(text);
    }

    /// Ends every connection.
    pub fn disconnect_all(&self) {
        for stream in lock(&self.state).open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends every connection and refuses new ones. Once this returns nobody is accepted.
    pub fn stop_listening(&self) {
        lock(&self.state).down = true;
        // Wakes the thread that accepts, whose end closes the listener.
        let _ = TcpStream::connect(self.address);
        let accepts = self.accepts.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = accepts.map(JoinHandle::join);
        self.disconnect_all();
    }

    /// Listens again at the same address, after [`Board::down`].
    ///
    /// # Errors
    /// Where the system refuses the socket.
    pub fn resume_listening(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        lock(&self.state).down = false;
        let mut accepts = self.accepts.lock().unwrap_or_else(PoisonError::into_inner);
        *accepts = Some(accept(self.state.clone(), listener));
        Ok(())
    }

    /// Leaves the connections that stand open and says nothing more on them.
    pub fn mute_open_connections(&self) {
        let mut state = lock(&self.state);
        let mut open = std::mem::take(&mut state.open);
        state.hushed.append(&mut open);
    }

    /// Says nothing more on the connections that stand, or on any.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// What the connections so far asked.
    pub fn received_requests(&self) -> Vec<String> {
        lock(&self.state).asked.clone()
    }
}

/// Whether the other end has not ended a connection on which it has nothing more to say.
fn stands(stream: &TcpStream) -> bool {
    let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
    matches!(rustix::net::recv(stream, &mut [0u8][..], flags), Err(rustix::io::Errno::AGAIN))
}

fn accept(state: Arc<(Mutex<State>, Condvar)>, listener: TcpListener) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let now = lock(&state);
            if now.over || now.down {
                return;
            }
            drop(now);
            if let Ok(stream) = stream {
                let _ = take(&state, stream);
            }
        }
    })
}

fn take(state: &(Mutex<State>, Condvar), mut stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    let mut state = lock(state);
    let line = line.trim_end().to_owned();
    let after = line.strip_prefix("after ").and_then(|n| n.parse::<u64>().ok());
    state.asked.push(line);
    let after = after.ok_or(io::ErrorKind::InvalidData)?;
    if !state.silent {
        let from = (after + 1).saturating_sub(state.first) as usize;
        for event in state.events.iter().skip(from) {
            stream.write_all(event.as_bytes())?;
        }
    }
    state.open.push(stream);
    Ok(())
}

impl Drop for FakeBulletin {
    fn drop(&mut self) {
        lock(&self.state).over = true;
        self.state.1.notify_all();
        self.disconnect_all();
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}
