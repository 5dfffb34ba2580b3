use crate::{Entry, Names, News, Source};
use basaltward::{Micros, State};
use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{ConfigError, Fault};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

const SCHEMA: &str = include_str!("../roster.xsd");

/// A roster in a file, read again whenever it changes. A file that can't be used is told once as failed, and
/// the list before it stands.
pub struct RosterFile {
    path: PathBuf,
    names: Names,
    every: Micros,
    due: Micros,
    /// Size, time and number of the file last read: a rename over it changes at least the number.
    seen: Option<(u64, SystemTime, u64)>,
    failed: bool,
}

impl RosterFile {
    /// A roster looked at every so often.
    pub fn new(path: PathBuf, names: Names, every: Micros) -> Self {
        Self { path, names, every, due: 0, seen: None, failed: false }
    }

    fn look(&mut self) -> Result<Option<Vec<Entry>>, String> {
        let failed = |error: io::Error| format!("{}: {error}", self.path.display());
        let told = std::fs::metadata(&self.path).map_err(failed)?;
        let seen = (told.len(), told.modified().map_err(failed)?, inode(&told));
        if self.seen == Some(seen) {
            return Ok(None);
        }
        let text = std::fs::read_to_string(&self.path).map_err(failed)?;
        self.seen = Some(seen);
        read(&text, &self.path, &self.names).map(Some).map_err(|error| error.to_string())
    }
}

fn inode(told: &std::fs::Metadata) -> u64 {
    use std::os::unix::fs::MetadataExt;
    told.ino()
}

impl Source for RosterFile {
    fn poll(&mut self, now: Micros) -> Option<News> {
        if now < self.due {
            return None;
        }
        self.due = now + self.every;
        match self.look() {
            Ok(None) => None,
            Ok(Some(entries)) => {
                self.failed = false;
                Some(News::Whole(entries))
            }
            Err(_) if self.failed => None,
            Err(why) => {
                self.failed = true;
                Some(News::Failed(why))
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
                faults.push(node.fault(format!("worker {} stands twice", entry.address)));
            }
            entries.push(entry);
        }
        entries
    })
}

fn entry(node: &Element, names: &Names, faults: &mut Vec<Fault>) -> Entry {
    let mut position = |attribute: &str, names: &[String]| match node.attribute(attribute) {
        None => 0,
        Some(told) => names.iter().position(|n| n == told).unwrap_or_else(|| {
            faults.push(node.fault(format!("{attribute} {told:?} is not among {}", names.join(", "))));
            0
        }),
    };
    let (kind, zone) = (position("kind", &names.kinds), position("zone", &names.zones));
    Entry {
        address: node.attribute("address").unwrap_or_default().to_owned(),
        state: match node.attribute("state") {
            Some("leaving") => State::Leaving,
            Some("gone") => State::Gone,
            _ => State::Active,
        },
        started: node.parse_attribute::<u64>("started-ms", faults).map(|ms| ms.saturating_mul(1_000)),
        kind,
        zone,
        cell: node.parse_attribute("cell", faults).unwrap_or(0),
        size: node.parse_attribute("size", faults).unwrap_or(1.0),
    }
}

/// Writes a roster file in one step: readers see the old list or the new one.
///
/// # Errors
/// Where the folder can't be written.
pub fn write(path: &Path, names: &Names, entries: &[Entry]) -> io::Result<()> {
    let mut text = String::from("<roster xmlns=\"urn:basaltward:roster:1\">\n");
    for entry in entries {
        let state = match entry.state {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Gone => "gone",
        };
        let _ = write!(text, "  <worker address=\"{}\" state=\"{state}\"", entry.address);
        if let Some(started) = entry.started {
            let _ = write!(text, " started-ms=\"{}\"", started / 1_000);
        }
        for (name, told) in [("kind", names.kinds.get(entry.kind)), ("zone", names.zones.get(entry.zone))] {
            if let Some(told) = told {
                let _ = write!(text, " {name}=\"{told}\"");
            }
        }
        let _ = writeln!(text, " cell=\"{}\" size=\"{}\"/>", entry.cell, entry.size);
    }
    text.push_str("</roster>\n");
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_told_once_and_a_bad_file_leaves_the_list() {
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
        let first = vec![entry("127.0.0.1:7001", State::Active), entry("[::1]:7002", State::Leaving)];
        write(&path, &names, &first).expect("written");
        let mut roster = RosterFile::new(path.clone(), names.clone(), 10);
        assert_eq!(roster.poll(0), Some(News::Whole(first.clone())));
        assert_eq!(roster.poll(5), None);
        assert_eq!(roster.poll(10), None);
        write(&path, &names, &[]).expect("written");
        assert_eq!(roster.poll(20), Some(News::Whole(Vec::new())));
        let bad = "<roster xmlns=\"urn:basaltward:roster:1\"><worker address=\"x\"/></roster>";
        std::fs::write(&path, bad).expect("written");
        assert!(matches!(roster.poll(30), Some(News::Failed(why)) if why.contains("roster.xml:1:")));
        assert_eq!(roster.poll(40), None);
        write(&path, &names, &first[..1]).expect("written");
        assert_eq!(roster.poll(50), Some(News::Whole(first[..1].to_vec())));
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
