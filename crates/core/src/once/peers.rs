//! Queries for outcomes by callers and by other vms.

use std::time::Duration;

use super::entry::Phase;
use super::marks::Call;
use super::{
    Answer, KeyKind, Mark, OnceCommand, OnceKey, OnceLedger, OnceMessage, OnceOutcome, OutcomeQuery,
};
use crate::VmId;
use crate::store::{StoreOp, StoreReply};

impl OnceLedger {
    /// Queries the vm that created a mark for the outcome of the request.
    pub(super) fn query_holder(
        &mut self,
        key: OnceKey,
        mark: Mark,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let at = now + self.config.retry_interval;
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.phase = Phase::Querying { mark, at };
        }
        out.push(OnceCommand::Send {
            to: mark.vm,
            message: OnceMessage::Query { key, mark },
        });
    }

    pub(super) fn handle_peer_message(
        &mut self,
        from: VmId,
        message: OnceMessage,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        match message {
            OnceMessage::Query { key, mark } => {
                let outcome = self.outcome_of_mark(key, mark, now, out);
                let message = OnceMessage::QueryReply { key, mark, outcome };
                out.push(OnceCommand::Send { to: from, message });
            }
            OnceMessage::QueryReply { key, mark, outcome } => {
                self.reply_received(key, mark, outcome, out)
            }
        }
    }

    fn outcome_of_mark(
        &mut self,
        key: OnceKey,
        mark: Mark,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) -> OnceOutcome {
        let Some(entry) = self.entries.map.get(&key) else {
            return OnceOutcome::Unknown;
        };
        if mark != self.mark(entry.serial) {
            return OnceOutcome::Unknown;
        }
        match &entry.phase {
            Phase::Final(outcome) => outcome.clone(),
            // "Not run" must remain true, so the request can no longer run.
            Phase::Held | Phase::GivenUp => {
                self.finish(key, OnceOutcome::NotRun, now, out);
                OnceOutcome::NotRun
            }
            _ => OnceOutcome::Running,
        }
    }

    fn reply_received(
        &mut self,
        key: OnceKey,
        mark: Mark,
        outcome: OnceOutcome,
        out: &mut Vec<OnceCommand>,
    ) {
        let is_querying =
            |phase: &Phase| matches!(phase, Phase::Querying { mark: m, .. } if *m == mark);
        if self
            .entries
            .map
            .get(&key)
            .is_some_and(|e| is_querying(&e.phase))
        {
            self.remove_entry(key, out, Answer::Outcome(outcome.clone()));
        }
        self.answer_queries(key, &outcome, out, |q| {
            q.queried_mark.is_some_and(|(m, _)| m == mark)
        });
    }

    fn answer_queries(
        &mut self,
        key: OnceKey,
        outcome: &OnceOutcome,
        out: &mut Vec<OnceCommand>,
        matching: impl Fn(&OutcomeQuery) -> bool,
    ) {
        self.queries.retain(|query| {
            if query.key != key || !matching(query) {
                return true;
            }
            out.push(OnceCommand::Outcome {
                request: query.request,
                outcome: outcome.clone(),
            });
            false
        });
    }

    pub(super) fn lookup(
        &mut self,
        query: OutcomeQuery,
        kind: KeyKind,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let (request, key) = (query.request, query.key);
        let outcome = match self.entries.map.get(&key).map(|e| e.phase.clone()) {
            Some(Phase::Final(outcome)) => Some(outcome),
            Some(Phase::Held) => {
                self.finish(key, OnceOutcome::NotRun, now, out);
                Some(OnceOutcome::NotRun)
            }
            // Another vm may have created the mark, so the store is read.
            Some(Phase::GivenUp | Phase::Querying { .. }) => None,
            Some(_) => Some(OnceOutcome::Running),
            None => self.outcome_of_unknown_key(key, kind, now),
        };
        if let Some(outcome) = outcome {
            return out.push(OnceCommand::Outcome { request, outcome });
        }
        self.queries.push(query);
        let op = StoreOp::Get {
            key: key.store_key(),
        };
        self.call(Call::Lookup(key), op, out);
    }

    /// Returns the outcome of a key without an entry, or `None` if the store must be read. An
    /// unused ticket is invalidated, so that "not run" remains true.
    fn outcome_of_unknown_key(
        &mut self,
        key: OnceKey,
        kind: KeyKind,
        now: Duration,
    ) -> Option<OnceOutcome> {
        let KeyKind::Ticket { expires } = kind else {
            return None;
        };
        if now >= expires || self.entries.map.len() >= self.config.max_entries {
            return Some(OnceOutcome::Unknown);
        }
        self.insert(key, kind, None, now);
        let (end, limit) = (now + self.config.retention, self.config.max_kept_bytes);
        self.entries.finish(key, OnceOutcome::NotRun, end, limit);
        Some(OnceOutcome::NotRun)
    }

    pub(super) fn lookup_completed(
        &mut self,
        key: OnceKey,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let mark = match &reply {
            StoreReply::Value {
                entry: Some(entry), ..
            } => Mark::decode(&entry.value).map(|(mark, _)| mark),
            _ => None,
        };
        let Some(mark) = mark else {
            // Without a mark the key may still be used later, so "not run" might become false.
            return self.answer_queries(key, &OnceOutcome::Unknown, out, |q| {
                q.queried_mark.is_none()
            });
        };
        if mark.vm == self.vm {
            let outcome = self.outcome_of_mark(key, mark, now, out);
            return self.answer_queries(key, &outcome, out, |q| q.queried_mark.is_none());
        }
        let at = now + self.config.retry_interval;
        for query in self.queries.iter_mut().filter(|q| q.key == key) {
            query.queried_mark = Some((mark, at));
        }
        let message = OnceMessage::Query { key, mark };
        out.push(OnceCommand::Send {
            to: mark.vm,
            message,
        });
    }

    pub(super) fn poll_queries(&mut self, now: Duration, out: &mut Vec<OnceCommand>) {
        let interval = self.config.retry_interval;
        self.queries.retain_mut(|query| {
            if query.deadline <= now {
                out.push(OnceCommand::Outcome {
                    request: query.request,
                    outcome: OnceOutcome::Unknown,
                });
                return false;
            }
            if let Some((mark, at)) = &mut query.queried_mark
                && *at <= now
            {
                *at = now + interval;
                let message = OnceMessage::Query {
                    key: query.key,
                    mark: *mark,
                };
                out.push(OnceCommand::Send {
                    to: mark.vm,
                    message,
                });
            }
            true
        });
    }
}
