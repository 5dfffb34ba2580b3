//! Record files, as JSON lines.

use crate::CommandError;
use basaltward_rules::{Record, Recorder};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::thread::JoinHandle;
use tracing::warn;

/// Writes records to a file.
pub fn write(path: &Path, records: &[Record]) -> Result<(), CommandError> {
    let mut out = BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        out.write_all(b"\n")?;
    }
    Ok(out.flush()?)
}

/// A recorder, and the thread that writes its file if there is one.
pub struct Records {
    /// Accepts records.
    pub recorder: Recorder,
    writer: Option<JoinHandle<io::Result<()>>>,
}

impl Records {
    /// Creates a recorder that writes to a file, or that discards all records without one.
    pub fn open(path: Option<&Path>) -> Result<Self, CommandError> {
        let Some(path) = path else { return Ok(Self { recorder: Recorder::none(), writer: None }) };
        let (recorder, writer) = Recorder::file(path)?;
        Ok(Self { recorder, writer: Some(writer) })
    }

    /// Waits until all records are written. All other clones of the recorder must have been dropped, or this blocks.
    pub fn close(self) -> Result<(), CommandError> {
        let Self { recorder, writer } = self;
        if recorder.lost() > 0 {
            warn!(lost = recorder.lost(), "records were dropped: the writer could not keep up");
        }
        drop(recorder);
        let Some(writer) = writer else { return Ok(()) };
        writer.join().map_err(|_| CommandError::Run("the record writer thread panicked".into()))??;
        Ok(())
    }
}
