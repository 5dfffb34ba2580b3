//! The workspace of a bed: a folder that goes with it, and loopback addresses that no other bed has.

use basaltward_rules::{Record, read_records};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static BEDS: AtomicU64 = AtomicU64::new(0);

/// A folder that goes with the value, and addresses that no other bed has.
pub(crate) struct Workspace {
    folder: PathBuf,
    bed: u8,
}

impl Workspace {
    pub fn new() -> std::io::Result<Self> {
        let number = BEDS.fetch_add(1, Ordering::SeqCst);
        let unique = format!("basaltward-trial-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir(&folder)?;
        Ok(Self { folder, bed: (number % 250) as u8 })
    }

    /// A file of this bed.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The host of a party, by number.
    pub fn ip(&self, party: usize) -> IpAddr {
        let own = 64 + (std::process::id() % 160) as u8;
        IpAddr::V4(Ipv4Addr::new(127, own, self.bed, 10 + party as u8))
    }

    /// A free port at the host of a party.
    pub fn reserve(&self, party: usize) -> std::io::Result<SocketAddr> {
        TcpListener::bind((self.ip(party), 0))?.local_addr()
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The party at a host, as [`Workspace::ip`] has it.
pub(crate) fn party(at: SocketAddr) -> Option<usize> {
    match at.ip() {
        IpAddr::V4(v4) => usize::from(v4.octets()[3]).checked_sub(10),
        IpAddr::V6(_) => None,
    }
}

/// The records of a file whose last line may be torn: its writer was killed. None where there is no file.
pub(crate) fn whole(path: &Path) -> std::io::Result<Vec<Record>> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(path)?;
    let torn = |line: &&str| serde_json::from_str::<Record>(line).is_err();
    if text.lines().any(|line| torn(&line)) {
        // A start after the tear goes on in the same line.
        let good: Vec<_> = text.lines().filter(|line| !torn(line)).collect();
        std::fs::write(path, good.join("\n"))?;
    }
    read_records(path)
}
