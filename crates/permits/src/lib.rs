//! What a fleet of schedulers agrees on, though parts of it fail and nothing survives a restart: how many are out of use at
//! once, which workers are drained, whether all is halted. A permit needs a majority of the voters, which are configured
//! members (7 at most). One leader, elected by them for an epoch, keeps the replicated state. It travels in datagrams of at
//! most 256 bytes that may be late, doubled or lost. Free of I/O: datagrams and times in, datagrams, changes and the next
//! time out; times are microseconds on the caller's clock.
//!
//! Modules use only what stands above them:
//!
//! | module | holds |
//! | --- | --- |
//! | `state`, `settings` | the replicated state, its permits and release plan; figures |
//! | `bounds`, `plan` | whether one more may be out; which scheduler a release takes next |
//! | `voter`, `register` | one voter; a candidate and leader of the replicated register |
//! | `request_table`, `wire`, `operator` | the leader's requests; datagrams of nodes; datagrams of operators |
//! | `node`, `leader` | [`PermitNode`]: a member's part in all of it; what it does while it leads |
//! | `observer` | what a node sees, from the membership and the list of workers |
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
