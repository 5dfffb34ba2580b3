//! The file of records that a command may write.

use crate::Failed;
use basaltward_rules::Recorder;
use std::io;
use std::path::Path;
use std::thread::JoinHandle;
use tracing::warn;

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
