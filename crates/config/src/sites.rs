//! Settings of sites that back one another up: their gateways and addresses, and which events are replicated.

use crate::Fault;
use crate::xml::Element;
use basaltward::Micros;
use std::net::{IpAddr, SocketAddr};

/// Policy for an event that should be replicated but that too few gateways of other sites can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreplicatedPolicy {
    /// It is refused without having run.
    Refuse,
    /// It is processed, and its answer states that it was not replicated.
    Continue,
}

/// How the events of a class are replicated to other sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationConfig {
    /// Number of gateways that must hold an event's entry before the event is processed.
    pub holders: usize,
    /// Policy if fewer than that can be reached.
    pub unreplicated: UnreplicatedPolicy,
    /// Whether safe events are finished even after their clients have left.
    pub finish_without_client: bool,
}

/// One of the gateways of all sites.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SitePeerConfig {
    /// Its name, as in the `gateway` element of its own settings.
    pub name: String,
    /// Its site, an index into [`SitesConfig::site_names`].
    pub site: u8,
    /// The address to which its peers send datagrams.
    pub datagram_address: SocketAddr,
    /// The address on which it serves clients.
    pub client_address: SocketAddr,
    /// The address to which its peers connect.
    pub journal_address: SocketAddr,
}

/// Limits on the journals that a gateway holds for other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalConfig {
    /// Maximum size of all journals together, in bytes.
    pub max_bytes: usize,
    /// Maximum length of an event or answer that is replicated, in bytes.
    pub max_entry_bytes: usize,
    /// Length of the lease that a gateway must hold to send unsafe events, in microseconds.
    pub lease: Micros,
}

/// The sites that back one another up, as configured for one gateway. The lists are the same on all gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct SitesConfig {
    /// Name of the fleet that all sites form.
    pub fleet: String,
    /// The local address for datagrams from peers.
    pub datagram_listen: SocketAddr,
    /// The local address for connections from peers.
    pub journal_listen: SocketAddr,
    /// Hosts from which operators may connect.
    pub operator_hosts: Vec<IpAddr>,
    /// Index of this gateway in [`SitesConfig::peers`].
    pub own_index: u16,
    /// Names of the sites; an index into it identifies a site.
    pub site_names: Vec<String>,
    /// All gateways of all sites, this one included, in the order of the file.
    pub peers: Vec<SitePeerConfig>,
    /// Whether calls may be handed over to another site.
    pub hand_over: bool,
    /// Whether the gateways shed load together during overload.
    pub shed: bool,
    /// Limits on the journals.
    pub journal: JournalConfig,
}

/// Reads how the events of a class are replicated; `None` if they are not.
pub fn replication(node: &Element, faults: &mut Vec<Fault>) -> Option<ReplicationConfig> {
    let holders = node.parse_attribute("holders", faults);
    if node.attribute("pending") != Some("kept") {
        if ["holders", "unheld", "owed"].iter().any(|name| node.attribute(name).is_some()) {
            faults.push(node.fault("holders, unheld and owed are for classes with pending=\"kept\""));
        }
        return None;
    }
    let unreplicated = if node.attribute("unheld") == Some("go-on") {
        UnreplicatedPolicy::Continue
    } else {
        UnreplicatedPolicy::Refuse
    };
    Some(ReplicationConfig {
        holders: holders.unwrap_or(1),
        unreplicated,
        finish_without_client: node.bool_attribute("owed").unwrap_or(false),
    })
}

/// Reads the sites, for the gateway with the name `own_name`; `None` if required attributes are invalid.
pub fn sites(node: &Element, own_name: &str, faults: &mut Vec<Fault>) -> Option<SitesConfig> {
    let (mut site_names, mut peers) = (Vec::new(), Vec::<SitePeerConfig>::new());
    for site in node.children_named("site") {
        let name = site.attribute("name").unwrap_or_default().to_owned();
        if site_names.contains(&name) {
            faults.push(site.fault(format!("duplicate site {name:?}")));
        }
        for peer in site.children_named("peer") {
            let mut address = |attribute: &str| {
                peer.parse_attribute::<SocketAddr>(attribute, faults)
                    .unwrap_or_else(|| ([127, 0, 0, 1], 0).into())
            };
            let (datagram_address, client_address, journal_address) =
                (address("tell"), address("front"), address("journal"));
            let name = peer.attribute("name").unwrap_or_default().to_owned();
            if peers.iter().any(|other| other.name == name) {
                faults.push(peer.fault(format!("duplicate peer {name:?}")));
            }
            if peers.iter().any(|other| other.datagram_address == datagram_address) {
                faults.push(peer.fault(format!(
                    "{datagram_address} is another peer's address: datagrams are attributed to peers by it"
                )));
            }
            peers.push(SitePeerConfig {
                name,
                site: site_names.len() as u8,
                datagram_address,
                client_address,
                journal_address,
            });
        }
        site_names.push(name);
    }
    let own_index = peers.iter().position(|peer| peer.name == own_name);
    if own_index.is_none() {
        faults.push(node.fault(format!(
            "no peer is named {own_name:?}, the name of this gateway in the gateway element"
        )));
    }
    let mut address = |attribute: &str| node.parse_attribute::<SocketAddr>(attribute, faults);
    let (datagram_listen, journal_listen) = (address("listen")?, address("journal-listen")?);
    let operators = node.attribute("operators").unwrap_or_default().split_whitespace();
    let operators: Vec<Option<IpAddr>> = operators.map(|host| host.parse().ok()).collect();
    if operators.contains(&None) {
        faults.push(node.fault("operators must be a list of IP addresses of hosts, separated by spaces"));
    }
    let micros = |millis: Option<f64>, default: f64| (millis.unwrap_or(default) * 1_000.0) as Micros;
    let journal = JournalConfig {
        max_bytes: node.parse_attribute("journal-bytes", faults).unwrap_or(64 << 20),
        max_entry_bytes: node.parse_attribute("entry-bytes", faults).unwrap_or(64 << 10),
        lease: micros(node.parse_attribute("lease-ms", faults), 3_000.0),
    };
    if journal.lease < 500_000 {
        faults.push(
            node.fault("lease-ms below 500: the lease could expire before it is renewed over a slow link"),
        );
    }
    Some(SitesConfig {
        fleet: node.attribute("fleet").unwrap_or_default().to_owned(),
        datagram_listen,
        journal_listen,
        operator_hosts: operators.into_iter().flatten().collect(),
        own_index: own_index? as u16,
        site_names,
        peers,
        hand_over: node.bool_attribute("hand-over").unwrap_or(true),
        shed: node.bool_attribute("shed").unwrap_or(true),
        journal,
    })
}
