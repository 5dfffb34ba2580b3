//! The workspace of a cluster: a temporary directory and loopback addresses that no other cluster uses.

use basaltward_rules::{Record, read_records};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static CLUSTERS: AtomicU64 = AtomicU64::new(0);

/// A temporary directory, deleted on drop, and loopback addresses that no other cluster uses.
pub(crate) struct Workspace {
    folder: PathBuf,
    cluster: u8,
}

impl Workspace {
    pub fn new() -> std::io::Result<Self> {
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let unique = format!("basaltward-trial-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir(&folder)?;
        Ok(Self { folder, cluster: (number % 250) as u8 })
    }

    /// Path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The loopback address of a party, by its number.
    pub fn ip(&self, party: usize) -> IpAddr {
        let process_octet = 64 + (std::process::id() % 160) as u8;
        IpAddr::V4(Ipv4Addr::new(127, process_octet, self.cluster, 10 + party as u8))
    }

    /// An address with a port that is free now at the party's loopback address.
    pub fn reserve(&self, party: usize) -> std::io::Result<SocketAddr> {
        TcpListener::bind((self.ip(party), 0))?.local_addr()
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Number of the party at an address that [`Workspace::ip`] made.
pub(crate) fn party_number(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(v4) => usize::from(v4.octets()[3]).checked_sub(10),
        IpAddr::V6(_) => None,
    }
}

/// Reads a file of records whose writer may have been killed in the middle of a line; incomplete lines are removed from
/// the file. Returns no records if the file does not exist.
pub(crate) fn read_complete_records(path: &Path) -> std::io::Result<Vec<Record>> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(path)?;
    let incomplete = |line: &&str| serde_json::from_str::<Record>(line).is_err();
    if text.lines().any(|line| incomplete(&line)) {
        // A process that is started again appends to the incomplete line, so any line may be affected, not only the
        // last.
        let complete: Vec<_> = text.lines().filter(|line| !incomplete(line)).collect();
        std::fs::write(path, complete.join("\n"))?;
    }
    read_records(path)
}
