//! Handles takeover messages: claims of events, and queries of returning gateways about their events.

use crate::recovery::{Event, EventStage, Recovery, claim_rank};
use crate::resolution::FirstSend;
use crate::takeover_messages::{
    ClaimDecision, ClaimReply, EventStatus, JournalLoss, JournalSnapshot, LossReason, RecoveryOutput,
    TakeoverMessage,
};
use crate::types::{Key, Outcome, Source, WallMs};
use basaltward_membership::{MemberId, Micros};

/// Limits of one message: events, and bytes of their answers.
pub(crate) const MAX_EVENTS_PER_MESSAGE: usize = 256;
const MAX_ANSWER_BYTES_PER_MESSAGE: usize = 48 << 10;
/// Limits for what this gateway learns about events of its earlier lives: events, and bytes of their answers. With
/// more events it does not become ready until some have expired.
const LEARNT: (usize, usize) = (1 << 17, 16 << 20);

impl Recovery {
    /// Handles a message of another gateway. `copies` returns the snapshots of all journals of a gateway up to a
    /// life.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: MemberId,
        word: TakeoverMessage,
        copies: impl Fn(MemberId, u64) -> Vec<JournalSnapshot>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        match word {
            TakeoverMessage::Claim(keys) => {
                let says: Vec<ClaimReply> = keys
                    .into_iter()
                    .filter_map(|(key, source, line)| self.answer_claim(from, key, source, line))
                    .collect();
                let age = now.saturating_sub(self.started_at);
                for says in into_batches(
                    says,
                    |say| matches!(&say.decision, ClaimDecision::Ended(_, answer) if !answer.is_empty()),
                ) {
                    out.push(RecoveryOutput::Send(
                        from,
                        TakeoverMessage::ClaimReplies { age, replies: says },
                    ));
                }
            }
            TakeoverMessage::ClaimReplies { age, replies: says } => {
                says.into_iter().for_each(|say| self.handle_claim_reply(now, from, age, say, out))
            }
            TakeoverMessage::Ended(ends) => {
                for (key, outcome, answer) in ends {
                    if let Some((_, fate)) =
                        self.learned.get_mut(&key).filter(|(_, fate)| *fate == EventStatus::OwnedBy(from))
                    {
                        let fits = self.learned_bytes + answer.len() <= LEARNT.1;
                        *fate = EventStatus::Ended(outcome, if fits { answer.clone() } else { Vec::new() });
                        self.learned_bytes += fate.answer_bytes();
                    }
                    let theirs = |event: &&mut Event| event.stage == EventStage::OwnedBy(from);
                    if let Some(event) = self.events.get_mut(&key).filter(theirs) {
                        Self::record_end(event, &mut self.running, outcome, answer);
                    }
                }
            }
            TakeoverMessage::HoldsQuery(of, life) => {
                if self.ended_lives.get(&of).is_some_and(|begun| *begun >= life) {
                    let any = !copies(of, life).is_empty();
                    out.push(RecoveryOutput::Send(from, TakeoverMessage::HoldsReply(of, any)));
                }
            }
            TakeoverMessage::HoldsReply(of, true) => _ = self.holder_queries.remove(&of),
            TakeoverMessage::HoldsReply(of, false) => {
                self.holder_queries.get_mut(&of).into_iter().for_each(|left| _ = left.remove(&from));
            }
            TakeoverMessage::ReturnQuery { life, after } => {
                self.answer_return_query(now, from, life, after, copies, out)
            }
            TakeoverMessage::ReturnReply { life, statuses: fates, more } => {
                self.handle_return_reply(from, life, fates, more, out)
            }
        }
    }

    /// Answers a claim. A granted claim binds this gateway from then on.
    fn answer_claim(&mut self, from: MemberId, key: Key, source: Source, line: u64) -> Option<ClaimReply> {
        if self.ended_lives.get(&source.gateway).is_none_or(|life| *life < source.life) {
            return None;
        }
        let upto = self.log_extents.get(&source).copied();
        let torn = self.log_extents.iter().any(|(of, (through, head))| *of != source && head > through);
        let Some(event) = self.events.get_mut(&key) else {
            // The replica here goes past the accepting entry but no longer has the event: it has ended, and how is no
            // longer known.
            let over = upto.is_some_and(|(through, _)| through >= line);
            let stand =
                if over { ClaimDecision::Ended(Outcome::Failed, Vec::new()) } else { ClaimDecision::Granted };
            return Some(ClaimReply {
                key,
                decision: stand,
                first_send: FirstSend::Never,
                accepted_entry: None,
                log_extent: upto,
                other_journal_incomplete: torn,
            });
        };
        event.other_holders.insert(from);
        let ours = match event.stage {
            EventStage::Ready | EventStage::Running => true,
            EventStage::Unclaimed | EventStage::Claiming(_) => {
                claim_rank(key, self.own) > claim_rank(key, from)
            }
            EventStage::OwnedBy(_) | EventStage::Ended(..) => false,
        };
        let stand = match &event.stage {
            EventStage::Ended(outcome, answer) => ClaimDecision::Ended(*outcome, answer.clone()),
            _ if ours => ClaimDecision::Denied,
            _ => {
                event.stage = EventStage::OwnedBy(from);
                ClaimDecision::Granted
            }
        };
        Some(ClaimReply {
            key,
            decision: stand,
            first_send: event.first_send,
            accepted_entry: Some(event.accepted_entry),
            log_extent: upto,
            other_journal_incomplete: torn,
        })
    }

    fn handle_claim_reply(
        &mut self,
        now: Micros,
        from: MemberId,
        age: Micros,
        say: ClaimReply,
        out: &mut Vec<RecoveryOutput>,
    ) {
        let Some(event) = self.events.get_mut(&say.key) else { return };
        if !matches!(&event.stage, EventStage::Claiming(left) if left.contains(&from)) {
            return;
        }
        // A peer that started after the owner was last heard from may have lost what it had stored. 5 / 4 allows for
        // clocks that run a tenth apart.
        if age < now.saturating_sub(event.owner_last_heard).saturating_mul(5) / 4 {
            event.first_send = FirstSend::Unknown;
        }
        if let Some(line) = say.accepted_entry.filter(|line| event.is_superseded_by(*line)) {
            event.reset_to(line, say.first_send);
            self.next_retry = now;
            return;
        }
        event.first_send = event.first_send.merge(say.first_send);
        event.other_journal_incomplete |= say.other_journal_incomplete;
        if let Some((through, head)) = say.log_extent {
            event.log_extent = (event.log_extent.0.max(through), event.log_extent.1.max(head));
            if through >= event.accepted_entry.1 {
                event.complete_holders.insert(from);
            }
        }
        let (own, mut contradicted) = (event.accepted_entry, None);
        if let Some((source, number, chain)) = say.accepted_entry {
            event.other_holders.insert(from);
            if (source, number) == (own.0, own.1) && chain != own.2 {
                event.first_send = FirstSend::Unknown;
                contradicted = Some(JournalLoss {
                    source_of: source,
                    from: number,
                    to: Some(number),
                    why: LossReason::Contradicted,
                });
            }
        }
        match say.decision {
            ClaimDecision::Granted => {
                if let EventStage::Claiming(left) = &mut event.stage {
                    left.remove(&from);
                }
            }
            ClaimDecision::Denied => event.stage = EventStage::OwnedBy(from),
            ClaimDecision::Ended(outcome, answer) => {
                Self::record_end(event, &mut self.running, outcome, answer)
            }
        }
        contradicted.into_iter().for_each(|gone| self.report_loss(gone, out));
    }

    /// Answers a later life of a gateway: its earlier lives have ended, and the status of all their pending events is
    /// reported.
    fn answer_return_query(
        &mut self,
        now: Micros,
        from: MemberId,
        life: u64,
        after: Option<Key>,
        copies: impl Fn(MemberId, u64) -> Vec<JournalSnapshot>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        if self.ended_lives.get(&from).is_none_or(|begun| *begun < life) {
            self.take_over(now, from, life, false, copies(from, life));
        }
        let of_it =
            |event: &Event| event.accepted_entry.0.gateway == from && event.accepted_entry.0.life <= life;
        // The peer that owns one of these events also reports its end to the returning gateway.
        let all = self.events.values_mut().filter(|event| of_it(event));
        all.for_each(|event| _ = event.other_holders.insert(from));
        let later = |key: &Key| after.is_none_or(|after| *key > after);
        let rest = self.events.iter().filter(|(key, event)| later(key) && of_it(event));
        let (mut fates, mut bytes, mut more) = (Vec::<(Key, WallMs, EventStatus)>::new(), 0, None);
        for (key, event) in rest {
            let fate = self.status_of(event);
            bytes += fate.answer_bytes();
            if fates.len() == MAX_EVENTS_PER_MESSAGE
                || (bytes > MAX_ANSWER_BYTES_PER_MESSAGE && !fates.is_empty())
            {
                more = fates.last().map(|(key, ..)| *key);
                break;
            }
            fates.push((*key, event.accepted.deadline, fate));
        }
        out.push(RecoveryOutput::Send(from, TakeoverMessage::ReturnReply { life, statuses: fates, more }));
    }

    /// Merges what a peer reports about events of earlier lives: an end takes precedence over an owner, and an owner
    /// over no owner.
    fn handle_return_reply(
        &mut self,
        from: MemberId,
        life: u64,
        fates: Vec<(Key, WallMs, EventStatus)>,
        more: Option<Key>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        if self.learned.len() + fates.len() > LEARNT.0 {
            return;
        }
        out.push(match more {
            Some(_) => RecoveryOutput::Send(from, TakeoverMessage::ReturnQuery { life, after: more }),
            None => RecoveryOutput::ReturnLearned(from),
        });
        for (key, deadline, fate) in fates {
            let known = self.learned.entry(key).or_insert((deadline, EventStatus::Unassigned));
            let later = match (&known.1, &fate) {
                (EventStatus::Ended(..), _) | (_, EventStatus::Unassigned) => false,
                (EventStatus::Unassigned, _) | (_, EventStatus::Ended(..)) => true,
                // A report of the owner itself is preferred.
                (EventStatus::OwnedBy(_), EventStatus::OwnedBy(of)) => *of == from,
            };
            if later {
                known.1 = match fate {
                    // The event was served, but its answer does not fit; it is reported like an answer that was too
                    // long.
                    EventStatus::Ended(outcome, answer) if self.learned_bytes + answer.len() > LEARNT.1 => {
                        EventStatus::Ended(outcome, Vec::new())
                    }
                    fate => fate,
                };
                self.learned_bytes += known.1.answer_bytes();
            }
        }
    }
}

/// Splits replies into batches of at most [`MAX_EVENTS_PER_MESSAGE`]; a reply with an answer gets a message of its
/// own.
fn into_batches(says: Vec<ClaimReply>, alone: impl Fn(&ClaimReply) -> bool) -> Vec<Vec<ClaimReply>> {
    let mut pieces: Vec<Vec<ClaimReply>> = Vec::new();
    let mut room = 0;
    for say in says {
        if room == 0 || alone(&say) {
            pieces.push(Vec::new());
            room = MAX_EVENTS_PER_MESSAGE;
        }
        room = if alone(&say) { 0 } else { room - 1 };
        pieces.last_mut().into_iter().for_each(|piece| piece.push(say.clone()));
    }
    pieces
}
