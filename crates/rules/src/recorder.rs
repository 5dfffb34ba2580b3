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

/// Records waiting for the writer, past which they are lost and counted: the loop never waits for a disk.
const QUEUE_CAPACITY: usize = 1 << 16;

#[derive(Clone)]
enum Sink {
    None,
    Memory(Arc<Memory>),
    Thread(SyncSender<Record>),
}

/// Records come by a queue without a lock: under one, all loops of a run stood still at the same moment for
/// some 30 ms whenever a vector of records had to be moved.
#[derive(Default)]
struct Memory {
    coming: SegQueue<Record>,
    all: Mutex<Vec<Record>>,
    changed: Condvar,
    /// Who waits for a change: without any there is nobody to be woken, and no system call.
    waiting: AtomicUsize,
}

impl Memory {
    fn gather(&self, all: &mut Vec<Record>) {
        all.extend(std::iter::from_fn(|| self.coming.pop()));
    }
}

/// Takes records from any number of threads.
#[derive(Clone)]
pub struct Recorder {
    sink: Sink,
    lost: Arc<Mutex<u64>>,
}

impl Recorder {
    /// Keeps nothing.
    pub fn none() -> Self {
        Self { sink: Sink::None, lost: Arc::default() }
    }

    /// Keeps all in memory, until [`Recorder::take`].
    pub fn memory() -> Self {
        Self { sink: Sink::Memory(Arc::default()), lost: Arc::default() }
    }

    /// Writes JSON lines to a file from a thread of its own, which ends once all clones of the recorder are
    /// gone.
    ///
    /// # Errors
    /// Where the file can't be made.
    pub fn file(path: &Path) -> io::Result<(Self, JoinHandle<io::Result<()>>)> {
        let (send, receive) = sync_channel(QUEUE_CAPACITY);
        let file = File::options().create(true).append(true).open(path)?;
        let writer =
            std::thread::Builder::new().name("records".into()).spawn(move || write(file, receive))?;
        Ok((Self { sink: Sink::Thread(send), lost: Arc::default() }, writer))
    }

    /// Whether anything is kept; lets callers spare the work of naming things.
    pub fn is_enabled(&self) -> bool {
        !matches!(self.sink, Sink::None)
    }

    /// Keeps one record.
    pub fn put(&self, t: Micros, by: &str, what: Observation) {
        let record = || Record { time: t, observer: by.to_owned(), observation: what };
        match &self.sink {
            Sink::None => {}
            Sink::Memory(memory) => {
                memory.coming.push(record());
                if memory.waiting.load(Ordering::SeqCst) > 0 {
                    // Under the lock, or who waits could miss it between its look and its sleep.
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

    /// Records that found no room. The checker can't judge a set that lacks some.
    pub fn lost(&self) -> u64 {
        self.lost.lock().map_or(0, |lost| *lost)
    }

    /// Waits until the records kept in memory fulfil a condition; false where they don't within the time.
    pub fn wait_until(&self, within: Duration, mut fulfilled: impl FnMut(&[Record]) -> bool) -> bool {
        let Sink::Memory(memory) = &self.sink else { return false };
        let Ok(all) = memory.all.lock() else { return false };
        memory.waiting.fetch_add(1, Ordering::SeqCst);
        let waited = memory.changed.wait_timeout_while(all, within, |all| {
            memory.gather(all);
            !fulfilled(all)
        });
        memory.waiting.fetch_sub(1, Ordering::SeqCst);
        waited.is_ok_and(|(_, timeout)| !timeout.timed_out())
    }

    /// Takes what is kept in memory, by time.
    pub fn take(&self) -> Vec<Record> {
        let Sink::Memory(memory) = &self.sink else { return Vec::new() };
        let mut all = memory.all.lock().map(|mut all| std::mem::take(&mut *all)).unwrap_or_default();
        memory.gather(&mut all);
        all.sort_by_key(|record| record.time);
        all
    }
}

fn write(file: File, receive: Receiver<Record>) -> io::Result<()> {
    let mut out = BufWriter::new(file);
    while let Ok(first) = receive.recv() {
        // What has queued up is written together, then flushed: a killed process loses little.
        for record in std::iter::once(first).chain(receive.try_iter()) {
            serde_json::to_writer(&mut out, &record)?;
            out.write_all(b"\n")?;
        }
        out.flush()?;
    }
    Ok(())
}

/// Reads records from a file of JSON lines, by time.
///
/// # Errors
/// Where the file can't be read or a line is no record; the error names the line.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let mut all = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let wrong = |e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", number + 1));
        all.push(serde_json::from_str(&line?).map_err(wrong)?);
    }
    all.sort_by_key(|record: &Record| record.time);
    Ok(all)
}
