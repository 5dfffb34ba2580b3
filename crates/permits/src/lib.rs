//! Consensus of a fleet of schedulers on permits: how many subjects are out of service at once, which workers are
//! drained, whether the fleet is halted. It holds although parts of the fleet fail and nothing is persisted over a
//! restart. A permit needs a majority of the voters, which are configured members, at most 7. One leader, elected by
//! them for an epoch, maintains the replicated state. It travels in datagrams of at most 256 bytes, which may be
//! delayed, duplicated or lost. The crate does no I/O: datagrams and times in; datagrams, changes and the time of the
//! next timer out. Times are in microseconds on the caller's clock.
//!
//! Modules use only modules listed above them:
//!
//! | module | contents |
//! | --- | --- |
//! | `state`, `settings` | the replicated state with its permits and release plan; settings of a node |
//! | `bounds`, `plan` | whether one more subject may be out of service; which scheduler a release restarts next |
//! | `voter`, `register` | one voter; a candidate or leader of the replicated register |
//! | `request_table`, `wire`, `operator` | the leader's requests; datagrams between nodes; datagrams of operators |
//! | `node`, `leader` | [`PermitNode`], the protocol of one member; its part as leader |
//! | `observer` | observations of a node, from the membership and the list of workers |
//! | `virtual_fleet` | schedulers and operators in virtual time |
#![warn(missing_docs)]

mod bounds;
mod leader;
mod node;
mod observer;
mod operator;
mod plan;
mod register;
mod request_table;
mod settings;
mod state;
mod virtual_fleet;
mod voter;
mod wire;

pub use bounds::{Bounds, Denied, Group, Limit, Observation, Observations, grant_permit, out_of_service};
#[doc(hidden)]
pub use node::Fault;
pub use node::{FleetObserver, Output, PermitNode};
pub use observer::{MembershipObserver, observe_sites};
pub use operator::{
    OPERATOR_VERSION, OperatorCommand, OperatorReply, OperatorRequest, OperatorResponse, PermitStatus,
};
pub use plan::{next_scheduler, on_target_version};
pub use register::{RegisterEvent, ReplicatedRegister, Times};
pub use request_table::PermitResult;
pub use settings::{MAX_VOTERS, PermitSettings, SettingsError, default_voters};
pub use state::{MAX_PERMITS, Permit, PermitState, Plan, Subject, name_hash, worker_subject};
pub use virtual_fleet::{OperatorAnswer, Scheduler, SchedulerOutput, VirtualFleet};
pub use voter::{Epoch, Stored, Voter, VoterRequest, VoterResponse};
pub use wire::{Halt, PermitRequest, VERSION};
