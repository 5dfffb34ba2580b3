//! Frames that the network truncates or corrupts: decoding never panics, and nothing is stored that was not written.
use basaltward_membership::SiteMap;
use basaltward_pending::{
    Accepted, Entry, Input, JournalFault, Key, Outcome, Output, PendingEvents, PendingSettings, RepeatSafety,
    Step,
};
use basaltward_permits::Subject;
use proptest::prelude::*;

fn settings(own: u16) -> PendingSettings {
    let site_map = SiteMap::new(vec![0, 1], own).expect("in the list");
    PendingSettings { entry_bytes: 1_000, ..PendingSettings::new(site_map, u64::from(own) + 7, vec![1], 1) }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let again = prop_oneof![
        Just(RepeatSafety::Safe),
        (0..9_000_000u64).prop_map(|window| RepeatSafety::Keyed { window }),
        Just(RepeatSafety::Unsafe)
    ];
    let event = (any::<u128>(), again, ".{0,40}", proptest::collection::vec(any::<u8>(), 0..300), 0..3u8);
    proptest::collection::vec(event, 1..12).prop_map(|events| {
        let steps = events.into_iter().flat_map(|(key, again, function, event, step_count)| {
            let key = Key(key);
            let (answer, worker) = (event.clone(), function.clone());
            let accepted = Accepted {
                key,
                class: 0,
                tenant: 3,
                function,
                repeat_safety: again,
                finish_without_client: true,
                deadline: 9_000,
                event,
            };
            let sending = Step::Sending { key, attempt: 1, worker, at: 77 };
            let ended = Step::Ended { key, outcome: Outcome::Served, answer };
            [Step::Accepted(accepted), sending, ended].into_iter().take(usize::from(step_count) + 1)
        });
        steps.collect()
    })
}

/// The frames that a writer sends for these steps, each written in its own wake-up.
fn frames(steps: &[Step]) -> Vec<Vec<u8>> {
    let (mut writer, mut out) = (PendingEvents::new(settings(0), 0), Vec::new());
    writer.handle(0, 0, Input::LinkUp { of: 1, life: 8 }, &mut out);
    for subject in [Subject::Site(0), Subject::Gateway(0)] {
        writer.handle(0, 0, Input::ReclaimReply { subject, permit: 0 }, &mut out);
    }
    // Its only peer is not live yet, so that the gateway does not wait for its report on earlier lives.
    (0..3).for_each(|_| writer.wake(0, 0, &mut out));
    writer.handle(0, 0, Input::LivePeers(vec![true; 2]), &mut out);
    out.clear();
    for (step, now) in steps.iter().zip(1..) {
        writer.handle(now, 0, Input::Step(step.clone()), &mut out);
        writer.wake(now, 0, &mut out);
    }
    let sent = |output| if let Output::Send { bytes, .. } = output { Some(bytes) } else { None };
    out.into_iter().filter_map(sent).collect()
}

/// The entries that a holder has stored after these frames, and the faults that it reported.
fn stored(frames: &[Vec<u8>]) -> (Vec<Entry>, Vec<JournalFault>) {
    let (mut holder, mut out) = (PendingEvents::new(settings(1), 0), Vec::new());
    for bytes in frames {
        holder.handle(0, 0, Input::Frame { from: 0, bytes: bytes.clone() }, &mut out);
    }
    let entries = holder.snapshots(0, u64::MAX).into_iter().flat_map(|snapshot| snapshot.entries).collect();
    let fault = |output| if let Output::Fault(fault) = output { Some(fault) } else { None };
    (entries, out.into_iter().filter_map(fault).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn truncated_or_corrupted_frames_are_reported_and_never_stored(
        steps in steps(),
        at in any::<prop::sample::Index>(),
        byte in any::<prop::sample::Index>(),
        to in any::<u8>(),
        cut in any::<bool>(),
    ) {
        let whole = frames(&steps);
        let (undamaged, faults) = stored(&whole);
        prop_assert!(faults.is_empty());
        prop_assert!(undamaged.iter().all(|entry| steps.contains(&entry.step)));
        let mut damaged = whole.clone();
        let frame = &mut damaged[at.index(whole.len())];
        let byte = byte.index(frame.len());
        if cut { frame.truncate(byte) } else { frame[byte] = to }
        let same = damaged == whole;
        let (entries, faults) = stored(&damaged);
        prop_assert!(entries.iter().all(|entry| steps.contains(&entry.step)));
        prop_assert!(same || !faults.is_empty());
        // After the damaged frame nothing is accepted until it is sent again.
        let before = at.index(whole.len());
        prop_assert!(same || entries == stored(&whole[..before]).0);
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = bytes;
        bytes.first_mut().into_iter().for_each(|first| *first = 0x51);
        let (entries, faults) = stored(&[bytes]);
        prop_assert!(entries.is_empty() && faults.len() == 1);
    }
}
