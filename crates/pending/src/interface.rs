//! Settings, inputs and outputs of [`crate::PendingEvents`].

use crate::error::{JournalFault, ReplicationError};
use crate::resolution::Resolution;
use crate::takeover_messages::JournalLoss;
use crate::types::{Accepted, Key, Outcome, Step, WallMs};
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitRequest, PermitState, Subject};

/// Settings of the journal and of takeover.
#[derive(Clone, Debug)]
pub struct PendingSettings {
    /// The site of each gateway.
    pub site_map: SiteMap,
    /// Identifies this life (process run) of the gateway: its start, the same value as in its incarnation; differs from
    /// that of all its earlier lives.
    pub life: u64,
    /// Number of gateways of other sites that must store an entry, by class; 0 if a class does not replicate its
    /// events.
    pub holders: Vec<u8>,
    /// Size limit in bytes, once for all journals stored for others together and once for this gateway's own journal.
    pub journal_bytes: usize,
    /// Maximum bytes of an event with its function's name, and of an answer.
    pub entry_bytes: usize,
    /// How long a holder promises with each acknowledgement not to take over this gateway's events. The lease that
    /// follows from it is a fifth shorter.
    pub lease: Micros,
    /// An entry that is not replicated within this time counts as not replicated.
    pub replication_timeout: Micros,
    /// How long entries are retained past the event's deadline or window, to answer repeats and to allow for clock
    /// skew.
    pub retention_ms: WallMs,
    /// Maximum difference between the wall clocks of two gateways.
    pub clock_skew_ms: WallMs,
    /// Maximum number of events of lost gateways that run on workers here at the same time.
    pub recovery_concurrency: usize,
    /// Maximum number of events of lost gateways that start here per second.
    pub recovery_rate: u32,
    /// Seed of the rendezvous hash that selects holders.
    pub seed: u64,
}

impl PendingSettings {
    /// Default limits and timeouts.
    pub fn new(site_map: SiteMap, life: u64, holders: Vec<u8>, seed: u64) -> Self {
        Self {
            site_map,
            life,
            holders,
            journal_bytes: 64 << 20,
            entry_bytes: 64 << 10,
            lease: 3_000_000,
            replication_timeout: 1_000_000,
            retention_ms: 30_000,
            clock_skew_ms: 500,
            recovery_concurrency: 32,
            recovery_rate: 100,
            seed,
        }
    }
}

/// Inputs of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A step of an event, from a loop of this gateway. [`Step::Accepted`] is answered by [`Output::Replicated`] or
    /// [`Output::NotReplicated`], [`Step::Sending`] by [`Output::SendAllowed`] or [`Output::SendDenied`].
    Step(Step),
    /// A complete frame from another gateway.
    Frame {
        /// The sender.
        from: MemberId,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A connection to a gateway was established. Frames that were in flight before may be lost.
    LinkUp {
        /// The gateway.
        of: MemberId,
        /// The life of that gateway, from the connection's handshake.
        life: u64,
    },
    /// The connection to a gateway was closed.
    LinkDown {
        /// The gateway.
        of: MemberId,
    },
    /// Whether each gateway is live by the membership view, by index.
    LivePeers(Vec<bool>),
    /// The state of sites and gateways by the membership view (`basaltward_permits::sites`), and the agreed permits.
    /// Sent whenever either changes, and at least once a second while a site or gateway is lost.
    Observed {
        /// From the membership view.
        observations: Observations,
        /// Agreed by the voters.
        permit_state: PermitState,
    },
    /// The answer to [`PermitRequest::Reclaim`]: the number of the takeover permit, 0 if there is none.
    ReclaimReply {
        /// The site or gateway.
        subject: Subject,
        /// Number of the permit.
        permit: u16,
    },
    /// The answer to [`PermitRequest::Return`]: the permit was returned or does not exist.
    PermitReturned {
        /// The site or gateway.
        subject: Subject,
    },
    /// A client sent this event again to this gateway and is waiting for the answer.
    ClientRepeat(Key),
    /// Limits for events of lost gateways, derived from the current load.
    RecoveryLimits {
        /// Events that may start per second.
        rate: u32,
        /// Events that may run at the same time.
        concurrency: usize,
    },
}

/// Outputs of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a frame to another gateway over a persistent connection, which is opened if there is none.
    Send {
        /// The receiver.
        to: MemberId,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// As many holders as the class requires have stored that this event was accepted.
    Replicated {
        /// The event.
        key: Key,
    },
    /// The event is not replicated. After [`ReplicationError::Timeout`] a holder may still have it: the journal records
    /// its end, and until that is replicated another gateway could take the event over and run it. After any other
    /// reason no other gateway has the event.
    NotReplicated {
        /// The event.
        key: Key,
        /// The reason.
        why: ReplicationError,
    },
    /// The first byte of this attempt may be sent before `until`.
    SendAllowed {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// The limit by the caller's monotonic clock; `Micros::MAX` if no lease is needed.
        until: Micros,
    },
    /// The first byte of this attempt must not be sent.
    SendDenied {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// The reason.
        why: ReplicationError,
    },
    /// A fault of a journal or a frame was detected and handled; for the log.
    Fault(JournalFault),
    /// Submit a request to the voters: `Acquire` for a takeover permit, `Reclaim` and `Return` when this gateway
    /// returns. Repeated until the answer arrives.
    RequestPermit(PermitRequest),
    /// From now on events are accepted: this gateway has learned which of its earlier events others have completed.
    Ready,
    /// This gateway was taken over while it was unreachable, and this pending event now belongs to others. No byte of
    /// it may be sent any more; whether others completed it is known after [`Output::Ready`].
    OwnershipLost {
        /// The event.
        key: Key,
    },
    /// Run an event of a lost gateway as if it was accepted here, with all its steps. The loop must finish it with
    /// [`Step::Ended`] in any case.
    Run {
        /// The event.
        accepted: Accepted,
        /// When its first byte was sent, if it was; the window of a keyed event runs from then.
        first_send_at: Option<WallMs>,
        /// The decision, one of those that run the event.
        resolution: Resolution,
    },
    /// An event of a lost gateway is ended without running it.
    Resolved {
        /// The event.
        key: Key,
        /// The decision.
        resolution: Resolution,
        /// The outcome reported to repeats.
        outcome: Outcome,
        /// The recorded answer, or empty.
        answer: Vec<u8>,
    },
    /// A part of a lost gateway's journal is missing.
    JournalLoss(JournalLoss),
}
