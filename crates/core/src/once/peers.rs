//! Outcomes for callers and for other vms.

use std::time::Duration;

use super::entry::Phase;
use super::marks::Call;
use super::{
    Answer, KeyKind, Mark, OnceCommand, OnceKey, OnceLedger, OnceMessage, OnceOutcome, Question,
};
use crate::VmId;
use crate::store::{StoreOp, StoreReply};

impl OnceLedger {
    /// Asks the vm that holds a mark what became of the request.
    pub(super) fn ask(
        &mut self,
        key: OnceKey,
        mark: Mark,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let at = now + self.config.retry_interval;
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.phase = Phase::Asking { mark, at };
        }
        out.push(OnceCommand::Send {
            to: mark.vm,
            message: OnceMessage::Query { key, mark },
        });
    }

    pub(super) fn peer(
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
            OnceMessage::QueryReply { key, mark, outcome } => self.told(key, mark, outcome, out),
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
            // "Not run" must stay true, so the key is closed for good.
            Phase::Held | Phase::GivenUp => {
                self.finish(key, OnceOutcome::NotRun, now, out);
                OnceOutcome::NotRun
            }
            _ => OnceOutcome::Running,
        }
    }

    fn told(&mut self, key: OnceKey, mark: Mark, outcome: OnceOutcome, out: &mut Vec<OnceCommand>) {
        let asking = |phase: &Phase| matches!(phase, Phase::Asking { mark: m, .. } if *m == mark);
        if self.entries.map.get(&key).is_some_and(|e| asking(&e.phase)) {
            self.forget(key, out, Answer::Outcome(outcome.clone()));
        }
        self.answer_questions(key, &outcome, out, |q| {
            q.asked.is_some_and(|(m, _)| m == mark)
        });
    }

    fn answer_questions(
        &mut self,
        key: OnceKey,
        outcome: &OnceOutcome,
        out: &mut Vec<OnceCommand>,
        matching: impl Fn(&Question) -> bool,
    ) {
        self.questions.retain(|question| {
            if question.key != key || !matching(question) {
                return true;
            }
            out.push(OnceCommand::Outcome {
                request: question.request,
                outcome: outcome.clone(),
            });
            false
        });
    }

    pub(super) fn look(
        &mut self,
        question: Question,
        kind: KeyKind,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let (request, key) = (question.request, question.key);
        let outcome = match self.entries.map.get(&key).map(|e| e.phase.clone()) {
            Some(Phase::Final(outcome)) => Some(outcome),
            Some(Phase::Held) => {
                self.finish(key, OnceOutcome::NotRun, now, out);
                Some(OnceOutcome::NotRun)
            }
            // Another vm may hold the mark, so the store must say.
            Some(Phase::GivenUp | Phase::Asking { .. }) => None,
            Some(_) => Some(OnceOutcome::Running),
            None => self.look_unknown_key(key, kind, now),
        };
        if let Some(outcome) = outcome {
            return out.push(OnceCommand::Outcome { request, outcome });
        }
        self.questions.push(question);
        let op = StoreOp::Get {
            key: key.store_key(),
        };
        self.call(Call::Look(key), op, out);
    }

    /// Burns an unused ticket, so that "not run" stays true.
    fn look_unknown_key(
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

    pub(super) fn looked(
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
            // Without a mark the key may still be used, so "not run" would be a promise that
            // nobody keeps.
            return self.answer_questions(key, &OnceOutcome::Unknown, out, |q| q.asked.is_none());
        };
        if mark.vm == self.vm {
            let outcome = self.outcome_of_mark(key, mark, now, out);
            return self.answer_questions(key, &outcome, out, |q| q.asked.is_none());
        }
        let at = now + self.config.retry_interval;
        for question in self.questions.iter_mut().filter(|q| q.key == key) {
            question.asked = Some((mark, at));
        }
        let message = OnceMessage::Query { key, mark };
        out.push(OnceCommand::Send {
            to: mark.vm,
            message,
        });
    }

    pub(super) fn tick_questions(&mut self, now: Duration, out: &mut Vec<OnceCommand>) {
        let interval = self.config.retry_interval;
        self.questions.retain_mut(|question| {
            if question.deadline <= now {
                out.push(OnceCommand::Outcome {
                    request: question.request,
                    outcome: OnceOutcome::Unknown,
                });
                return false;
            }
            if let Some((mark, at)) = &mut question.asked
                && *at <= now
            {
                *at = now + interval;
                let message = OnceMessage::Query {
                    key: question.key,
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
