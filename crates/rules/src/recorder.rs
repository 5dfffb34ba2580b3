use crate::record::{Micros, Observation, Record};
use crossbeam_queue::SegQueue;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Most records queued for the writer thread. Further ones are dropped and counted: an event loop must never wait
/// for a disk.
const QUEUE_CAPACITY: usize = 1 << 16;

#[derive(Clone)]
enum Sink {
    None,
    Memory(Arc<Memory>),
    Thread(SyncSender<Record>),
}

/// Records kept in memory. They arrive through a lock-free queue: with a vector behind a lock, all event loops of a
/// run stalled at the same time for some 30 ms whenever the vector was reallocated.
#[derive(Default)]
struct Memory {
    queue: SegQueue<Record>,
    all: Mutex<Vec<Record>>,
    changed: Condvar,
    /// Number of threads that wait for a change. While it is 0, `put` skips the notification and its system call.
    waiting: AtomicUsize,
}

impl Memory {
    /// Moves the queued records to the end of `all`.
    fn gather(&self, all: &mut Vec<Record>) {
        all.extend(std::iter::from_fn(|| self.queue.pop()));
    }
}

/// Collects records from any number of threads. Clones share one destination.
#[derive(Clone)]
pub struct Recorder {
    sink: Sink,
    lost: Arc<Mutex<u64>>,
}

impl Recorder {
    /// Discards all records.
    pub fn none() -> Self {
        Self { sink: Sink::None, lost: Arc::default() }
    }

    /// Keeps all records in memory until [`Recorder::take`].
    pub fn memory() -> Self {
        Self { sink: Sink::Memory(Arc::default()), lost: Arc::default() }
    }

    /// Appends JSON lines to a file from a thread of its own, which ends once all clones of the recorder are
    /// dropped.
    ///
    /// # Errors
    /// If the file can't be opened or the thread can't be started.
    pub fn file(path: &Path) -> io::Result<(Self, JoinHandle<io::Result<()>>)> {
        let (send, receive) = sync_channel(QUEUE_CAPACITY);
        let file = File::options().create(true).append(true).open(path)?;
        let writer =
            std::thread::Builder::new().name("records".into()).spawn(move || write(file, receive))?;
        Ok((Self { sink: Sink::Thread(send), lost: Arc::default() }, writer))
    }

    /// Whether records are kept. Callers use it to skip the work of building records.
    pub fn is_enabled(&self) -> bool {
        !matches!(self.sink, Sink::None)
    }

    /// Adds a record. Never blocks on a disk: if the writer's queue is full, the record is dropped and counted.
    pub fn put(&self, time: Micros, observer: &str, observation: Observation) {
        let record = || Record { time, observer: observer.to_owned(), observation };
        match &self.sink {
            Sink::None => {}
            Sink::Memory(memory) => {
                memory.queue.push(record());
                if memory.waiting.load(Ordering::SeqCst) > 0 {
                    // Notified under the lock, so that a waiter can't miss it between its check and its sleep.
                    let _all = memory.all.lock();
                    memory.changed.notify_all();
                }
            }
            Sink::Thread(send) => {
                if let (true, Ok(mut lost)) = (send.try_send(record()).is_err(), self.lost.lock()) {
                    *lost += 1;
                }
            }
        }
    }

    /// Number of records dropped because the queue was full. The checker can't judge an incomplete set of records.
    pub fn lost(&self) -> u64 {
        self.lost.lock().map_or(0, |lost| *lost)
    }

    /// Waits until the records kept in memory fulfil a condition. Returns false on a timeout, and if this recorder
    /// does not keep its records in memory.
    pub fn wait_until(&self, timeout: Duration, mut fulfilled: impl FnMut(&[Record]) -> bool) -> bool {
        let Sink::Memory(memory) = &self.sink else { return false };
        let Ok(all) = memory.all.lock() else { return false };
        memory.waiting.fetch_add(1, Ordering::SeqCst);
        let waited = memory.changed.wait_timeout_while(all, timeout, |all| {
            memory.gather(all);
            !fulfilled(all)
        });
        memory.waiting.fetch_sub(1, Ordering::SeqCst);
        waited.is_ok_and(|(_, result)| !result.timed_out())
    }

    /// Removes and returns the records kept in memory, ordered by time.
    pub fn take(&self) -> Vec<Record> {
        let Sink::Memory(memory) = &self.sink else { return Vec::new() };
        let mut all = memory.all.lock().map(|mut all| std::mem::take(&mut *all)).unwrap_or_default();
        memory.gather(&mut all);
        all.sort_by_key(|record| record.time);
        all
    }
}

/// Writes records as JSON lines until all senders are dropped.
fn write(file: File, receive: Receiver<Record>) -> io::Result<()> {
    let mut out = BufWriter::new(file);
    while let Ok(first) = receive.recv() {
        // Flushed after each batch of queued records, so that a killed process loses little.
        for record in std::iter::once(first).chain(receive.try_iter()) {
            serde_json::to_writer(&mut out, &record)?;
            out.write_all(b"\n")?;
        }
        out.flush()?;
    }
    Ok(())
}

/// Reads records from a file of JSON lines, ordered by time.
///
/// # Errors
/// If the file can't be read or a line is not a valid record; the error names the line.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let mut all = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", number + 1));
        all.push(serde_json::from_str(&line?).map_err(invalid)?);
    }
    all.sort_by_key(|record: &Record| record.time);
    Ok(all)
}
