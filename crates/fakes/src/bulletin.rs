//! A fake bulletin that publishes the events of a test and fails on request.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Default)]
struct State {
    /// Number of the first element of `events`; a scheduler starts with everything before it.
    first: u64,
    /// Lines of all events published so far, in order.
    events: Vec<String>,
    open: Vec<TcpStream>,
    /// Open connections that receive nothing any more.
    muted: Vec<TcpStream>,
    /// The request line of each connection.
    requests: Vec<String>,
    silent: bool,
    /// New connections are refused.
    down: bool,
    shut_down: bool,
}

impl State {
    fn last(&self) -> u64 {
        self.first + self.events.len() as u64 - 1
    }

    /// Stores an event with a change of the roster and returns its line.
    fn append(&mut self, targets: &str) -> String {
        self.append_event(targets, false)
    }

    /// Stores an event with a change of the roster, or with the full list, and returns its line.
    fn append_event(&mut self, targets: &str, all: bool) -> String {
        let no = self.last() + 1;
        let event =
            format!("{{\"no\":{no},\"roster\":{{\"rev\":{no},\"all\":{all},\"targets\":[{targets}]}}}}\n");
        self.events.push(event.clone());
        event
    }

    /// Writes to all connections that are open and not muted; drops those on which the write fails.
    fn send(&mut self, text: &str) {
        if !self.silent {
            self.open.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
        }
    }
}

/// A fake bulletin. It listens on loopback and sends each connection a heartbeat every second.
pub struct FakeBulletin {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

fn lock(state: &(Mutex<State>, Condvar)) -> MutexGuard<'_, State> {
    state.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeBulletin {
    /// Starts a bulletin whose first event has the number `first`.
    ///
    /// # Errors
    /// If the socket can't be opened.
    pub fn start(first: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new((Mutex::new(State { first, ..State::default() }), Condvar::new()));
        let (acceptor, ticker_state) = (accept(state.clone(), listener), state.clone());
        std::thread::spawn(move || {
            let mut state = lock(&ticker_state);
            while !state.shut_down {
                let text = format!("{{\"no\":{}}}\n", state.last());
                state.send(&text);
                let waited = ticker_state.1.wait_timeout(state, Duration::from_secs(1));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        });
        Ok(Self { address, state, acceptor: Mutex::new(Some(acceptor)) })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes an event with a change of the roster; `targets` are its entries, as JSON.
    pub fn publish(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.append(targets);
        state.send(&event);
    }

    /// Publishes an event that holds the full list.
    pub fn publish_full_list(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.append_event(targets, true);
        state.send(&event);
    }

    /// Stores an event, sends the first half of its line and then nothing more on the open connections, which stay
    /// open.
    pub fn stall_mid_event(&self, targets: &str) {
        let mut state = lock(&self.state);
        let event = state.append(targets);
        state.send(&event[..event.len() / 2]);
        let mut open = std::mem::take(&mut state.open);
        state.muted.append(&mut open);
    }

    /// Publishes several events in one write.
    pub fn publish_batch(&self, events: &[&str]) {
        let mut state = lock(&self.state);
        let text: String = events.iter().map(|targets| state.append(targets)).collect();
        state.send(&text);
    }

    /// Stores an event, sends the first half of its line and ends every connection, with `reset` by a TCP reset.
    pub fn disconnect_mid_event(&self, targets: &str, reset: bool) {
        let mut state = lock(&self.state);
        let event = state.append(targets);
        state.send(&event[..event.len() / 2]);
        for stream in state.open.drain(..) {
            if reset {
                let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            }
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the silence of [`FakeBulletin::set_silent`] and sends all events so far, late, on every open connection.
    pub fn resume_and_resend(&self) {
        let mut state = lock(&self.state);
        state.silent = false;
        let text = state.events.concat();
        state.send(&text);
    }

    /// Number of connections that have sent their request and that the scheduler has not closed.
    pub fn open_connections(&self) -> usize {
        let state = lock(&self.state);
        state.open.iter().chain(&state.muted).filter(|stream| is_open(stream)).count()
    }

    /// Writes arbitrary text to all open connections.
    pub fn send_raw(&self, text: &str) {
        lock(&self.state).send(text);
    }

    /// Closes every connection.
    pub fn disconnect_all(&self) {
        for stream in lock(&self.state).open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes every connection and refuses new ones. Once this returns, no connection is accepted.
    pub fn stop_listening(&self) {
        lock(&self.state).down = true;
        // Wakes the accepting thread; the listener closes when that thread ends.
        let _ = TcpStream::connect(self.address);
        let acceptor = self.acceptor.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = acceptor.map(JoinHandle::join);
        self.disconnect_all();
    }

    /// Listens again at the same address, after [`FakeBulletin::stop_listening`].
    ///
    /// # Errors
    /// If the socket can't be opened.
    pub fn resume_listening(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        lock(&self.state).down = false;
        let mut acceptor = self.acceptor.lock().unwrap_or_else(PoisonError::into_inner);
        *acceptor = Some(accept(self.state.clone(), listener));
        Ok(())
    }

    /// Sends nothing more on the connections that are open now and leaves them open.
    pub fn mute_open_connections(&self) {
        let mut state = lock(&self.state);
        let mut open = std::mem::take(&mut state.open);
        state.muted.append(&mut open);
    }

    /// With `true`, sends nothing on any connection, new ones included, until it is called with `false`.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// The request lines of all connections so far.
    pub fn received_requests(&self) -> Vec<String> {
        lock(&self.state).requests.clone()
    }
}

/// Whether the peer has neither closed the connection nor sent further data.
fn is_open(stream: &TcpStream) -> bool {
    let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
    matches!(rustix::net::recv(stream, &mut [0u8][..], flags), Err(rustix::io::Errno::AGAIN))
}

fn accept(state: Arc<(Mutex<State>, Condvar)>, listener: TcpListener) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let now = lock(&state);
            if now.shut_down || now.down {
                return;
            }
            drop(now);
            if let Ok(stream) = stream {
                let _ = subscribe(&state, stream);
            }
        }
    })
}

/// Reads the request `after N` of a new connection, then sends the events after that number.
fn subscribe(state: &(Mutex<State>, Condvar), mut stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    let mut state = lock(state);
    let line = line.trim_end().to_owned();
    let after = line.strip_prefix("after ").and_then(|n| n.parse::<u64>().ok());
    state.requests.push(line);
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
        lock(&self.state).shut_down = true;
        self.state.1.notify_all();
        self.disconnect_all();
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}
