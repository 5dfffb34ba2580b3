//! The file of records that a command may write.

use crate::Failed;
use basaltward_rules::{Record, Recorder};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::thread::JoinHandle;
use tracing::warn;

/// Writes records to a file, as JSON lines.
pub fn write(path: &Path, records: &[Record]) -> Result<(), Failed> {
    let mut out = BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        out.write_all(b"\n")?;
    }
    Ok(out.flush()?)
}

/// A recorder with the thread that writes its file, if there is one.
pub struct Records {
    /// Where records are put.
    pub recorder: Recorder,
    writer: Option<JoinHandle<io::Result<()>>>,
}

impl Records {
    /// Writes to a file, or keeps nothing without one.
    pub fn open(path: Option<&Path>) -> Result<Self, Failed> {
        let Some(path) = path else { return Ok(Self { recorder: Recorder::none(), writer: None }) };
        let (recorder, writer) = Recorder::file(path)?;
        Ok(Self { recorder, writer: Some(writer) })
    }

    /// Waits until all is written. Every other clone of the recorder must be gone by now.
    pub fn close(self) -> Result<(), Failed> {
        let Self { recorder, writer } = self;
        if recorder.lost() > 0 {
            warn!(lost = recorder.lost(), "records were lost: the writer could not keep up");
        }
        drop(recorder);
        let Some(writer) = writer else { return Ok(()) };
        writer.join().map_err(|_| Failed::Run("the writer of records has panicked".into()))??;
        Ok(())
    }
}
