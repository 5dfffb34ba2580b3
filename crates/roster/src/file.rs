use crate::{Entry, Names, RosterUpdate, Source};
use basaltward::{Micros, WorkerState};
use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{ConfigError, Fault};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

const SCHEMA: &str = include_str!("../roster.xsd");

/// A roster file, read again whenever it changes. A file that can't be read or is invalid is reported once as failed,
/// and the previous list stays in use.
pub struct RosterFile {
    path: PathBuf,
    names: Names,
    /// Interval between checks for changes.
    interval: Micros,
    /// When the next check is due.
    due: Micros,
    /// Size, modification time and inode of the file last read: a rename over it changes at least the inode.
    last_read: Option<(u64, SystemTime, u64)>,
    /// Whether the failure of the current file has been reported.
    is_failed: bool,
}

impl RosterFile {
    /// Creates a source that checks the file for changes at this interval in microseconds.
    pub fn new(path: PathBuf, names: Names, interval: Micros) -> Self {
        Self { path, names, interval, due: 0, last_read: None, is_failed: false }
    }

    /// Reads the file if it has changed.
    fn read_if_changed(&mut self) -> Result<Option<Vec<Entry>>, String> {
        let with_path = |error: io::Error| format!("{}: {error}", self.path.display());
        let metadata = std::fs::metadata(&self.path).map_err(with_path)?;
        let version = (metadata.len(), metadata.modified().map_err(with_path)?, inode(&metadata));
        if self.last_read == Some(version) {
            return Ok(None);
        }
        let text = std::fs::read_to_string(&self.path).map_err(with_path)?;
        self.last_read = Some(version);
        read(&text, &self.path, &self.names).map(Some).map_err(|error| error.to_string())
    }
}

fn inode(metadata: &std::fs::Metadata) -> u64 {
    use std::os::unix::fs::MetadataExt;
    metadata.ino()
}

impl Source for RosterFile {
    fn poll(&mut self, now: Micros) -> Option<RosterUpdate> {
        if now < self.due {
            return None;
        }
        self.due = now + self.interval;
        match self.read_if_changed() {
            Ok(None) => None,
            Ok(Some(entries)) => {
                self.is_failed = false;
                Some(RosterUpdate::Full(entries))
            }
            Err(_) if self.is_failed => None,
            Err(why) => {
                self.is_failed = true;
                Some(RosterUpdate::Failed(why))
            }
        }
    }

    fn next_due(&self) -> Micros {
        self.due
    }
}

fn read(text: &str, path: &Path, names: &Names) -> Result<Vec<Entry>, ConfigError> {
    parse_validated(text, &path.display().to_string(), SCHEMA, |root, faults| {
        let mut addresses = BTreeSet::new();
        let mut entries = Vec::new();
        for node in root.children_named("worker") {
            let entry = entry(&node, names, faults);
            if entry.address.parse::<std::net::SocketAddr>().is_err() {
                faults.push(node.fault(format!("address {:?} is not IP:port", entry.address)));
            }
            if !addresses.insert(entry.address.clone()) {
                faults.push(node.fault(format!("duplicate worker {:?}", entry.address)));
            }
            entries.push(entry);
        }
        entries
    })
}

fn entry(node: &Element, names: &Names, faults: &mut Vec<Fault>) -> Entry {
    let mut position = |attribute: &str, names: &[String]| match node.attribute(attribute) {
        None => 0,
        Some(name) => names.iter().position(|n| n == name).unwrap_or_else(|| {
            faults.push(node.fault(format!("{attribute} {name:?} is not one of {}", names.join(", "))));
            0
        }),
    };
    let (kind, zone) = (position("kind", &names.kinds), position("zone", &names.zones));
    Entry {
        address: node.attribute("address").unwrap_or_default().to_owned(),
        state: match node.attribute("state") {
            Some("leaving") => WorkerState::Leaving,
            Some("gone") => WorkerState::Gone,
            _ => WorkerState::Active,
        },
        started: node.parse_attribute::<u64>("started-ms", faults).map(|ms| ms.saturating_mul(1_000)),
        kind,
        zone,
        cell: node.parse_attribute("cell", faults).unwrap_or(0),
        size: node.parse_attribute("size", faults).unwrap_or(1.0),
    }
}

/// Writes a roster file atomically: readers see the old list or the new one.
///
/// # Errors
/// If the file can't be written or renamed.
pub fn write(path: &Path, names: &Names, entries: &[Entry]) -> io::Result<()> {
    let mut text = String::from("<roster xmlns=\"urn:basaltward:roster:1\">\n");
    for entry in entries {
        let state = match entry.state {
            WorkerState::Active => "active",
            WorkerState::Leaving => "leaving",
            WorkerState::Gone => "gone",
        };
        let _ = write!(text, "  <worker address=\"{}\" state=\"{state}\"", entry.address);
        if let Some(started) = entry.started {
            let _ = write!(text, " started-ms=\"{}\"", started / 1_000);
        }
        for (attribute, name) in
            [("kind", names.kinds.get(entry.kind)), ("zone", names.zones.get(entry.zone))]
        {
            if let Some(name) = name {
                let _ = write!(text, " {attribute}=\"{name}\"");
            }
        }
        let _ = writeln!(text, " cell=\"{}\" size=\"{}\"/>", entry.cell, entry.size);
    }
    text.push_str("</roster>\n");
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_reported_once_and_an_invalid_file_keeps_the_list() {
        let folder = std::env::temp_dir().join(format!("basaltward-roster-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("roster.xml");
        let names = Names { kinds: vec!["std".into(), "slow".into()], zones: vec!["a".into()] };
        let started = Some(1_764_000_000_123_000);
        let entry = |address: &str, state| Entry {
            address: address.into(),
            state,
            started,
            kind: 1,
            zone: 0,
            cell: 3,
            size: 1.5,
        };
        let first =
            vec![entry("127.0.0.1:7001", WorkerState::Active), entry("[::1]:7002", WorkerState::Leaving)];
        write(&path, &names, &first).expect("written");
        let mut roster = RosterFile::new(path.clone(), names.clone(), 10);
        assert_eq!(roster.poll(0), Some(RosterUpdate::Full(first.clone())));
        assert_eq!(roster.poll(5), None);
        assert_eq!(roster.poll(10), None);
        write(&path, &names, &[]).expect("written");
        assert_eq!(roster.poll(20), Some(RosterUpdate::Full(Vec::new())));
        let invalid = "<roster xmlns=\"urn:basaltward:roster:1\"><worker address=\"x\"/></roster>";
        std::fs::write(&path, invalid).expect("written");
        assert!(matches!(roster.poll(30), Some(RosterUpdate::Failed(why)) if why.contains("roster.xml:1:")));
        assert_eq!(roster.poll(40), None);
        write(&path, &names, &first[..1]).expect("written");
        assert_eq!(roster.poll(50), Some(RosterUpdate::Full(first[..1].to_vec())));
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
