//! The example from the README.
use basaltward::{Action, Class, Controller, Event, Member, MembersKind, Repeat, Request, Settings};

fn main() -> Result<(), basaltward::SettingsError> {
    let mut settings = Settings::new(vec![Class::new(500_000, 2_000_000, Repeat::Safe)], vec![16_384.0]);
    settings.copies.load_on_miss = true;
    settings.copies.orders = false;
    let mut controller = Controller::new(settings, 7)?;
    let mut actions = Vec::new();
    let worker = Member::active("10.0.0.1:7000");
    controller.handle(0, Event::Members { kind: MembersKind::Whole, members: vec![worker] }, &mut actions);
    controller.handle(1_000, Event::Request(Request::new(1, "resize", 384.0, 2, 2_000_000)), &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
    Ok(())
}
