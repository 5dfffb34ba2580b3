//! The decision module of a function platform's scheduler.
//!
//! A [`Controller`] receives what its front end observes as events (requests, outcomes, the list of workers) and
//! returns actions to carry out (send, load, refuse, ...). It places every function on the worker with the lowest
//! memory pressure ratio; requests follow that placement and overflow to other workers by the same rule.
//! It does no I/O, reads no clock and starts no thread; identical events give identical actions.
//!
//! ```
//! use basaltward::{Action, Class, Controller, Event, Member, MembersKind, Repeat, Settings, WorkerState};
//!
//! let mut settings = Settings::new(vec![Class::new(500_000, 2_000_000, Repeat::Safe)], vec![16_384.0]);
//! settings.copies.load_on_miss = true;
//! settings.copies.orders = false;
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let worker = Member { worker: "10.0.0.1:7000".into(), state: WorkerState::Active, started: 0, hint: 1.0,
//!     kind: 0, zone: 0, cell: 0 };
//! controller.handle(0, Event::Members { kind: MembersKind::Whole, members: vec![worker] }, &mut actions);
//! controller.handle(1_000, Event::Request(basaltward::Request::new(1, "resize", 384.0, 2, 2_000_000)),
//!     &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! # Ok::<(), basaltward::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control;
mod interface;
mod slow_start;
mod state;
mod worker_access;

pub use interface::*;
pub use state::Controller;
