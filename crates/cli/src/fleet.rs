//! `fleet`: prints a scheduler's membership view; [`operator`] has the other subcommands.

use crate::args::{Fleet, FleetCommand};
use crate::{CommandError, operator};
use basaltward_membership::{MemberState, StatusResponse};
use basaltward_peers::fetch_membership;

/// Runs a `fleet` subcommand.
pub fn run(options: &Fleet) -> Result<(), CommandError> {
    let FleetCommand::View { scheduler, json } = &options.command else {
        return operator::run(&options.command);
    };
    let view = fetch_membership(*scheduler)?;
    if *json {
        println!("{}", serde_json::to_string(&view)?);
        return Ok(());
    }
    print(&view);
    Ok(())
}

fn print(view: &StatusResponse) {
    let live = view.members.iter().filter(|member| member.state.is_live()).count();
    println!(
        "n{} of {}: {live} live ({:?}), digest {:08x}, {}",
        view.own,
        view.size,
        view.part,
        view.digest,
        if view.settled { "settled" } else { "not settled" }
    );
    if view.superseded {
        println!(
            "superseded by a later incarnation of its name: it sends nothing more and should be stopped"
        );
    }
    if let [served, refused, failed] = view.calls[..] {
        println!("calls reported by all: {served} served, {refused} refused, {failed} failed");
    }
    for (number, member) in view.members.iter().enumerate() {
        let last_received = match (member.heard_ms, number == usize::from(view.own)) {
            (_, true) => "itself".into(),
            (Some(ms), _) => format!("last received {:.1} s ago", ms as f64 / 1e3),
            (None, _) => "nothing received".into(),
        };
        let incarnation = match member.state {
            MemberState::Unknown => String::new(),
            _ => format!(", incarnation {}.{}", member.incarnation.start, member.incarnation.bump),
        };
        println!("n{number} {}, {last_received}{incarnation}", format!("{:?}", member.state).to_lowercase());
    }
}
