//! What goes into the machine and comes out of it, and how it is set.

use crate::error::{JournalFault, ReplicationError};
use crate::resolution::Resolution;
use crate::takeover_messages::JournalLoss;
use crate::types::{Accepted, Key, Outcome, Step, WallMs};
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitRequest, PermitState, Subject};

/// How kept events are held.
#[derive(Clone, Debug)]
pub struct PendingSettings {
    /// Which gateway stands at which site.
    pub site_map: SiteMap,
    /// When our life began, as in our incarnation: another than any before it.
    pub life: u64,
    /// Gateways of other sites that hold an entry, by class; 0 where a class keeps nothing.
    pub holders: Vec<u8>,
    /// Bytes held for all others together, and bytes pending here.
    pub journal_bytes: usize,
    /// Longest event with its function's name, and longest answer.
    pub entry_bytes: usize,
    /// Nothing is done in our place for so long after a holder last heard of us; a lease is a fifth shorter.
    pub lease: Micros,
    /// An entry that is not held after this time counts as not held.
    pub replication_timeout: Micros,
    /// What is held is kept for so long past its deadline or window: for repeats, and as wall clocks differ.
    pub retention_ms: WallMs,
    /// Wall clocks of gateways differ by up to this.
    pub clock_skew_ms: WallMs,
    /// Events of lost owners that are out to workers here at once, and that begin in a second, at most.
    pub recovery_concurrency: usize,
    /// See [`PendingSettings::heir_most`].
    pub recovery_rate: u32,
    /// What choices that are free follow from.
    pub seed: u64,
}

impl PendingSettings {
    /// As configured where nothing else is said.
    pub fn new(places: SiteMap, life: u64, holders: Vec<u8>, seed: u64) -> Self {
        Self {
            site_map: places,
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

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// By a loop of this gateway: an event was accepted, is about to be sent, has ended. The first two are answered by
    /// [`Output::Held`] or [`Output::Unheld`], and by [`Output::May`] or [`Output::MayNot`].
    Step(Step),
    /// A whole frame of another gateway.
    Frame {
        /// Who sent it.
        from: MemberId,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A connection to a gateway stands, to this life of it. Frames that were on their way may be lost.
    LinkUp {
        /// The gateway.
        of: MemberId,
        /// Its life, as it told in the connection's first words.
        life: u64,
    },
    /// No connection to it stands.
    LinkDown {
        /// The gateway.
        of: MemberId,
    },
    /// Who is live by the view, by number.
    LivePeers(Vec<bool>),
    /// What the view shows of sites and their gateways (`basaltward_permits::sites`) and what is agreed: told whenever
    /// either has changed, and at least once a second while a site or gateway is lost.
    Observed {
        /// By the view.
        observations: Observations,
        /// Of the voters.
        permit_state: PermitState,
    },
    /// The answer to [`PermitRequest::Reclaim`]: the permit's number, 0 where there is none.
    ReclaimReply {
        /// Whose.
        subject: Subject,
        /// The number.
        permit: u16,
    },
    /// The answer to [`PermitRequest::Return`], or that no such permit stands.
    PermitReturned {
        /// Whose.
        subject: Subject,
    },
    /// A client repeats an event here, and waits for it.
    ClientRepeat(Key),
    /// What the load here allows for events of lost owners.
    RecoveryLimits {
        /// That begin in a second.
        rate: u32,
        /// That are out at once.
        most: usize,
    },
}

/// What the machine wants done, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A frame for another gateway, over a kept connection, which is made if there is none.
    Send {
        /// To whom.
        to: MemberId,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// As many gateways as its class wants hold that this event was accepted.
    Replicated {
        /// The event.
        key: Key,
    },
    /// It is not kept. After [`ReplicationError::Late`] it may be known to some holder: an end is written for it here, and until
    /// that is held a heir could still run it; after any other reason nobody knows of it.
    NotReplicated {
        /// The event.
        key: Key,
        /// Why.
        why: ReplicationError,
    },
    /// The first byte of this attempt may leave before this time of the caller's clock.
    SendAllowed {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// The time; unbounded where no lease is needed.
        until: Micros,
    },
    /// It may not leave.
    SendDenied {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// Why.
        why: ReplicationError,
    },
    /// Something is wrong with a journal or a frame; it is named here and handled.
    Fault(JournalFault),
    /// The voters are to be asked: `Acquire` for the permit to take over, `Reclaim` and `Return` by us who return. It is asked
    /// again for as long as no answer comes.
    RequestPermit(PermitRequest),
    /// From now on this gateway takes kept events: it has learnt what was done in its place before.
    Ready,
    /// What was pending here is others' now, as we were taken over while out of reach. No byte of this event may leave
    /// any more; whether it was done elsewhere is known once [`Output::Takes`] has come.
    OwnershipLost {
        /// The event.
        key: Key,
    },
    /// An event of a lost owner is to be done here, as if it were accepted here: steps and all. Its loop ends it by
    /// [`Step::Ended`] in any case.
    Run {
        /// The event.
        accepted: Accepted,
        /// When its first byte left, if it did: a window under its key runs from then.
        first_send_at: Option<WallMs>,
        /// What is done.
        resolution: Resolution,
    },
    /// An event of a lost owner ends here and no worker is asked.
    Resolved {
        /// The event.
        key: Key,
        /// How.
        resolution: Resolution,
        /// For repeats.
        outcome: Outcome,
        /// The answer, where there is one.
        answer: Vec<u8>,
    },
    /// Something of a lost owner's journal is not known.
    JournalLoss(JournalLoss),
}
