use crate::args::{Fleet, FleetCommand};
use crate::{Failed, operator};
use basaltward_membership::{MemberState, StatusResponse};
use basaltward_peers::ask_view;

/// Asks about the fleet.
pub fn run(options: &Fleet) -> Result<(), Failed> {
    let FleetCommand::View { of, json } = &options.command else { return operator::run(&options.command) };
    let view = ask_view(*of)?;
    if *json {
        println!("{}", serde_json::to_string(&view)?);
        return Ok(());
    }
    print(&view);
    Ok(())
}

fn print(view: &StatusResponse) {
    let live = view.members.iter().filter(|seen| seen.state.is_live()).count();
    println!(
        "n{} of {}: {live} live ({:?}), digest {:08x}, {}",
        view.own,
        view.size,
        view.part,
        view.digest,
        if view.settled { "settled" } else { "not settled" }
    );
    if view.superseded {
        println!("a later life of its name has taken its place: it is silent, and should be ended");
    }
    if let [served, refused, failed] = view.calls[..] {
        println!("calls told by all: {served} served, {refused} refused, {failed} failed");
    }
    for (number, seen) in view.members.iter().enumerate() {
        let heard = match (seen.heard_ms, number == usize::from(view.own)) {
            (_, true) => "itself".into(),
            (Some(ms), _) => format!("heard {:.1} s ago", ms as f64 / 1e3),
            (None, _) => "never heard".into(),
        };
        let life = match seen.state {
            MemberState::Unknown => String::new(),
            _ => format!(", life {}.{}", seen.incarnation.start, seen.incarnation.bump),
        };
        println!("n{number} {}, {heard}{life}", format!("{:?}", seen.state).to_lowercase());
    }
}
