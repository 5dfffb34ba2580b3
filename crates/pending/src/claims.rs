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
const MAX_LEARNED_EVENTS: usize = 1 << 17;
const MAX_LEARNED_BYTES: usize = 16 << 20;

impl Recovery {
    /// Handles a message of another gateway. `snapshots` returns the snapshots of all journals of a gateway up to a
    /// life.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: MemberId,
        message: TakeoverMessage,
        snapshots: impl Fn(MemberId, u64) -> Vec<JournalSnapshot>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        match message {
            TakeoverMessage::Claim(keys) => {
                let replies: Vec<ClaimReply> = keys
                    .into_iter()
                    .filter_map(|(key, source, entry_number)| {
                        self.answer_claim(from, key, source, entry_number)
                    })
                    .collect();
                let age = now.saturating_sub(self.started_at);
                for replies in into_batches(
                    replies,
                    |reply| matches!(&reply.decision, ClaimDecision::Ended(_, answer) if !answer.is_empty()),
                ) {
                    out.push(RecoveryOutput::Send(from, TakeoverMessage::ClaimReplies { age, replies }));
                }
            }
            TakeoverMessage::ClaimReplies { age, replies } => {
                replies.into_iter().for_each(|reply| self.handle_claim_reply(now, from, age, reply, out))
            }
            TakeoverMessage::Ended(ends) => {
                for (key, outcome, answer) in ends {
                    if let Some((_, status)) =
                        self.learned.get_mut(&key).filter(|(_, status)| *status == EventStatus::OwnedBy(from))
                    {
                        let fits = self.learned_bytes + answer.len() <= MAX_LEARNED_BYTES;
                        *status = EventStatus::Ended(outcome, if fits { answer.clone() } else { Vec::new() });
                        self.learned_bytes += status.answer_bytes();
                    }
                    let owned_by_sender = |event: &&mut Event| event.stage == EventStage::OwnedBy(from);
                    if let Some(event) = self.events.get_mut(&key).filter(owned_by_sender) {
                        Self::record_end(event, &mut self.running, outcome, answer);
                    }
                }
            }
            TakeoverMessage::HoldsQuery(of, life) => {
                if self.ended_lives.get(&of).is_some_and(|ended_life| *ended_life >= life) {
                    let any = !snapshots(of, life).is_empty();
                    out.push(RecoveryOutput::Send(from, TakeoverMessage::HoldsReply(of, any)));
                }
            }
            TakeoverMessage::HoldsReply(of, true) => _ = self.holder_queries.remove(&of),
            TakeoverMessage::HoldsReply(of, false) => {
                self.holder_queries.get_mut(&of).into_iter().for_each(|awaited| _ = awaited.remove(&from));
            }
            TakeoverMessage::ReturnQuery { life, after } => {
                self.answer_return_query(now, from, life, after, snapshots, out)
            }
            TakeoverMessage::ReturnReply { life, statuses, more } => {
                self.handle_return_reply(from, life, statuses, more, out)
            }
        }
    }

    /// Answers a claim. A granted claim binds this gateway from then on. `None` if this gateway has not begun to take
    /// over the journal.
    fn answer_claim(
        &mut self,
        from: MemberId,
        key: Key,
        source: Source,
        entry_number: u64,
    ) -> Option<ClaimReply> {
        if self.ended_lives.get(&source.gateway).is_none_or(|life| *life < source.life) {
            return None;
        }
        let journal_extent = self.journal_extents.get(&source).copied();
        let other_journal_incomplete =
            self.journal_extents.iter().any(|(of, (through, head))| *of != source && head > through);
        let Some(event) = self.events.get_mut(&key) else {
            // The replica here goes past the accepting entry but no longer has the event: it has ended, and its
            // outcome is no longer known.
            let ended = journal_extent.is_some_and(|(through, _)| through >= entry_number);
            let decision = if ended {
                ClaimDecision::Ended(Outcome::Failed, Vec::new())
            } else {
                ClaimDecision::Granted
            };
            return Some(ClaimReply {
                key,
                decision,
                first_send: FirstSend::Never,
                accepted_entry: None,
                journal_extent,
                other_journal_incomplete,
            });
        };
        event.other_holders.insert(from);
        let keeps_event = match event.stage {
            EventStage::Ready | EventStage::Running => true,
            EventStage::Unclaimed | EventStage::Claiming(_) => {
                claim_rank(key, self.own) > claim_rank(key, from)
            }
            EventStage::OwnedBy(_) | EventStage::Ended(..) => false,
        };
        let decision = match &event.stage {
            EventStage::Ended(outcome, answer) => ClaimDecision::Ended(*outcome, answer.clone()),
            _ if keeps_event => ClaimDecision::Denied,
            _ => {
                event.stage = EventStage::OwnedBy(from);
                ClaimDecision::Granted
            }
        };
        Some(ClaimReply {
            key,
            decision,
            first_send: event.first_send,
            accepted_entry: Some(event.accepted_entry),
            journal_extent,
            other_journal_incomplete,
        })
    }

    fn handle_claim_reply(
        &mut self,
        now: Micros,
        from: MemberId,
        age: Micros,
        reply: ClaimReply,
        out: &mut Vec<RecoveryOutput>,
    ) {
        let Some(event) = self.events.get_mut(&reply.key) else { return };
        if !matches!(&event.stage, EventStage::Claiming(awaited) if awaited.contains(&from)) {
            return;
        }
        // A peer that started after the last frame of the owner may have lost what it had stored. 5 / 4 allows for
        // clocks that run a tenth apart.
        if age < now.saturating_sub(event.owner_last_seen).saturating_mul(5) / 4 {
            event.first_send = FirstSend::Unknown;
        }
        if let Some(entry) = reply.accepted_entry.filter(|entry| event.is_superseded_by(*entry)) {
            event.reset_to(entry, reply.first_send);
            self.next_retry = now;
            return;
        }
        event.first_send = event.first_send.merge(reply.first_send);
        event.other_journal_incomplete |= reply.other_journal_incomplete;
        if let Some((through, head)) = reply.journal_extent {
            event.journal_extent = (event.journal_extent.0.max(through), event.journal_extent.1.max(head));
            if through >= event.accepted_entry.1 {
                event.complete_holders.insert(from);
            }
        }
        let (own_entry, mut contradicted) = (event.accepted_entry, None);
        if let Some((source, number, chain)) = reply.accepted_entry {
            event.other_holders.insert(from);
            if (source, number) == (own_entry.0, own_entry.1) && chain != own_entry.2 {
                event.first_send = FirstSend::Unknown;
                contradicted = Some(JournalLoss {
                    source_of: source,
                    from: number,
                    to: Some(number),
                    why: LossReason::Contradicted,
                });
            }
        }
        match reply.decision {
            ClaimDecision::Granted => {
                if let EventStage::Claiming(awaited) = &mut event.stage {
                    awaited.remove(&from);
                }
            }
            ClaimDecision::Denied => event.stage = EventStage::OwnedBy(from),
            ClaimDecision::Ended(outcome, answer) => {
                Self::record_end(event, &mut self.running, outcome, answer)
            }
        }
        contradicted.into_iter().for_each(|loss| self.report_loss(loss, out));
    }

    /// Answers a later life of a gateway: its earlier lives have ended, and the status of all their pending events is
    /// reported.
    fn answer_return_query(
        &mut self,
        now: Micros,
        from: MemberId,
        life: u64,
        after: Option<Key>,
        snapshots: impl Fn(MemberId, u64) -> Vec<JournalSnapshot>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        if self.ended_lives.get(&from).is_none_or(|ended_life| *ended_life < life) {
            self.take_over(now, from, life, false, snapshots(from, life));
        }
        let is_theirs =
            |event: &Event| event.accepted_entry.0.gateway == from && event.accepted_entry.0.life <= life;
        // The peer that owns one of these events also reports its end to the returning gateway.
        let all = self.events.values_mut().filter(|event| is_theirs(event));
        all.for_each(|event| _ = event.other_holders.insert(from));
        let later = |key: &Key| after.is_none_or(|after| *key > after);
        let rest = self.events.iter().filter(|(key, event)| later(key) && is_theirs(event));
        let (mut statuses, mut bytes, mut more) = (Vec::<(Key, WallMs, EventStatus)>::new(), 0, None);
        for (key, event) in rest {
            let status = self.status_of(event);
            bytes += status.answer_bytes();
            if statuses.len() == MAX_EVENTS_PER_MESSAGE
                || (bytes > MAX_ANSWER_BYTES_PER_MESSAGE && !statuses.is_empty())
            {
                more = statuses.last().map(|(key, ..)| *key);
                break;
            }
            statuses.push((*key, event.accepted.deadline, status));
        }
        out.push(RecoveryOutput::Send(from, TakeoverMessage::ReturnReply { life, statuses, more }));
    }

    /// Merges what a peer reports about events of earlier lives: an end takes precedence over an owner, and an owner
    /// over no owner.
    fn handle_return_reply(
        &mut self,
        from: MemberId,
        life: u64,
        statuses: Vec<(Key, WallMs, EventStatus)>,
        more: Option<Key>,
        out: &mut Vec<RecoveryOutput>,
    ) {
        if self.learned.len() + statuses.len() > MAX_LEARNED_EVENTS {
            return;
        }
        out.push(match more {
            Some(_) => RecoveryOutput::Send(from, TakeoverMessage::ReturnQuery { life, after: more }),
            None => RecoveryOutput::ReturnLearned(from),
        });
        for (key, deadline, status) in statuses {
            let known = self.learned.entry(key).or_insert((deadline, EventStatus::Unassigned));
            let replaces = match (&known.1, &status) {
                (EventStatus::Ended(..), _) | (_, EventStatus::Unassigned) => false,
                (EventStatus::Unassigned, _) | (_, EventStatus::Ended(..)) => true,
                // A report of the owner itself is preferred.
                (EventStatus::OwnedBy(_), EventStatus::OwnedBy(of)) => *of == from,
            };
            if replaces {
                known.1 = match status {
                    // The event was served, but its answer does not fit; it is reported like an answer that was too
                    // long.
                    EventStatus::Ended(outcome, answer)
                        if self.learned_bytes + answer.len() > MAX_LEARNED_BYTES =>
                    {
                        EventStatus::Ended(outcome, Vec::new())
                    }
                    status => status,
                };
                self.learned_bytes += known.1.answer_bytes();
            }
        }
    }
}

/// Splits replies into batches of at most [`MAX_EVENTS_PER_MESSAGE`]; a reply with an answer gets a message of its
/// own.
fn into_batches(replies: Vec<ClaimReply>, alone: impl Fn(&ClaimReply) -> bool) -> Vec<Vec<ClaimReply>> {
    let mut batches: Vec<Vec<ClaimReply>> = Vec::new();
    let mut capacity = 0;
    for reply in replies {
        if capacity == 0 || alone(&reply) {
            batches.push(Vec::new());
            capacity = MAX_EVENTS_PER_MESSAGE;
        }
        capacity = if alone(&reply) { 0 } else { capacity - 1 };
        batches.last_mut().into_iter().for_each(|batch| batch.push(reply.clone()));
    }
    batches
}
