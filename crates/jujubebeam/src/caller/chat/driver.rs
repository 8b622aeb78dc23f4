//! Carries an inference request through its attempts to its final answer.

use std::collections::VecDeque;
use std::time::Duration;

use jujubebeam_caller::{CallerError, ChatAnswer, ChatChoice, ChatMessage, ErrorKind, Usage};
use jujubebeam_core::quarantine::{QuarantineEvent, Verdict};
use jujubebeam_core::request::{
    Close, RequestCommand, RequestConfig, RequestEvent, RequestMachine,
};
use jujubebeam_core::settings::document::ChangeMode;
use jujubebeam_core::targets::TargetState;
use jujubebeam_core::{Clock, Machine};
use ntex::time::{Millis, sleep};
use tokio::sync::mpsc::Sender;
use tracing::Span;

use super::Job;
use super::connection::Connection;
use super::output::{self, Output};
use super::sse::{Chunk, EngineEvent};
use crate::caller::{auth, refusals};
use crate::context::Context;
use crate::crashes;
use crate::dispatch::Permit;
use crate::metrics::Counter;
use crate::recorder::{self, Used};

/// Time between two checks of the caller's key, the deadline and the target's state.
pub(super) const CHECK_INTERVAL: Millis = Millis(500);

/// Pause before a request leaves a target that died. Targets of one zone often vanish together; a
/// request that moved on at once could be on the next one when it dies, and two deaths would make
/// it look like the cause.
const CRASH_PAUSE: Millis = Millis(250);

/// One request while it runs.
pub(super) struct Driver {
    pub(super) context: Context,
    pub(super) job: Job,
    pub(super) output: Sender<Output>,
    pub(super) machine: RequestMachine,
    pub(super) commands: VecDeque<RequestCommand>,
    pub(super) permit: Option<Permit>,
    /// Target to which the stream moves.
    pub(super) next_permit: Option<Permit>,
    pub(super) connection: Option<Connection>,
    pub(super) refusal: Option<CallerError>,
    /// Chunk whose text is being delivered.
    chunk: Option<Chunk>,
    /// Whether something other than text was delivered, which no other engine can continue.
    pub(super) delivered_other: bool,
    usage: Option<Usage>,
    /// Span of the present attempt.
    pub(super) attempt_span: Span,
    /// Whether a target died in the last attempt.
    crashed: bool,
    /// Time of the next check of key, deadline and target.
    next_check: Duration,
}

impl Driver {
    pub(super) fn new(context: Context, job: Job, output: Sender<Output>) -> Self {
        Self {
            context,
            job,
            output,
            machine: RequestMachine::new(RequestConfig::default()),
            commands: VecDeque::new(),
            permit: None,
            next_permit: None,
            connection: None,
            refusal: None,
            chunk: None,
            delivered_other: false,
            usage: None,
            attempt_span: Span::none(),
            crashed: false,
            next_check: Duration::ZERO,
        }
    }

    /// Runs until the final answer was given or the caller left.
    pub(super) async fn run(mut self) {
        self.feed(RequestEvent::Start);
        loop {
            if let Some(command) = self.commands.pop_front() {
                self.perform(command).await;
            } else if self.machine.is_done() {
                return;
            } else {
                self.wait().await;
            }
        }
    }

    pub(super) fn feed(&mut self, event: RequestEvent) {
        let mut out = Vec::new();
        let now = self.context.shared.clock.now();
        self.machine.step(event, now, &mut out);
        self.commands.extend(out);
    }

    /// Waits for the engine, the caller or the next check.
    async fn wait(&mut self) {
        let Some(connection) = &mut self.connection else {
            // The machine waits for a stream that is gone, for example after a failed export.
            return self.feed(RequestEvent::Expired);
        };
        let attempt = connection.attempt;
        tokio::select! {
            biased;
            () = self.output.closed() => self.caller_gone().await,
            event = connection.next() => match event {
                Some(EngineEvent::Chunk(chunk)) => self.chunk(chunk).await,
                Some(EngineEvent::Done) => self.feed(RequestEvent::DoneMark { attempt }),
                Some(EngineEvent::Broken) | None => {
                    self.connection = None;
                    let close = Close::StreamEnded;
                    self.feed(RequestEvent::Closed { attempt, close });
                }
            },
            () = sleep(CHECK_INTERVAL) => {}
        }
        // An engine that sends tokens faster than the interval must not postpone the check.
        let now = self.context.shared.clock.now();
        if now >= self.next_check && !self.machine.is_done() {
            self.next_check = now + Duration::from(CHECK_INTERVAL);
            self.check();
        }
    }

    async fn chunk(&mut self, chunk: Chunk) {
        let Some(attempt) = self.connection.as_ref().map(|c| c.attempt) else {
            return;
        };
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if chunk.has_other && self.job.streamed {
            self.delivered_other = true;
            if let Some(permit) = &mut self.permit {
                permit.first_token();
            }
            let events = output::chunk_event(chunk.value.clone(), self.job.request);
            self.emit(Output::Events(events)).await;
        }
        let (text, finish) = (chunk.text.clone(), chunk.finish.clone());
        self.chunk = Some(chunk);
        self.feed(RequestEvent::Text { attempt, text });
        if let Some(reason) = finish {
            self.feed(RequestEvent::Finish { attempt, reason });
        }
    }

    /// Checks the caller's key, the deadline of the first token and the target's state.
    pub(super) fn check(&mut self) {
        let Some(snapshot) = self.context.shared.snapshot() else {
            return;
        };
        let shared = &self.context.shared;
        let route = self.job.route(&snapshot);
        let valid = self
            .job
            .key
            .map_or(Ok(()), |k| auth::still_valid(shared, k));
        if let Err(error) = route.and(valid) {
            self.refusal = Some(error);
            return self.feed(RequestEvent::Expired);
        }
        let waiting = self.machine.delivered_tokens() == 0 && !self.delivered_other;
        if waiting && self.context.shared.clock.now() >= self.job.deadline {
            return self.feed(RequestEvent::Expired);
        }
        if self.connection.is_none() || self.follow_plan() {
            return;
        }
        if self.target_leaves() && !self.delivered_other {
            self.feed(RequestEvent::Move);
        }
    }

    fn target_leaves(&self) -> bool {
        let load = |p: &Permit| self.context.shared.load(p.target.id);
        let state = self.permit.as_ref().and_then(load).map(|l| l.state);
        matches!(state, Some(TargetState::Draining | TargetState::Leaving)) || self.should_move()
    }

    /// Whether a planned change of the target waits for this stream and may move it.
    fn should_move(&self) -> bool {
        let shared = &self.context.shared;
        let marked = |p: &Permit| shared.fleet.is_marked(p.target.id);
        if !self.permit.as_ref().is_some_and(marked) {
            return false;
        }
        let snapshot = shared.snapshot();
        let workspace = snapshot
            .as_ref()
            .zip(self.job.workspace)
            .and_then(|(s, id)| s.workspaces.get(&id));
        workspace.is_none_or(|w| w.planned_change.mode == ChangeMode::Move)
    }

    pub(super) async fn emit(&mut self, part: Output) {
        if self.output.send(part).await.is_err() {
            self.caller_gone().await;
        }
    }

    /// Tokens that were delivered before the caller left are counted.
    pub(super) async fn caller_gone(&mut self) {
        if self.machine.is_done() {
            return;
        }
        self.feed(RequestEvent::CallerDisconnected);
        let output_tokens = self.machine.delivered_tokens();
        if output_tokens == 0 {
            return;
        }
        // The permit stays, because the attempt is still to be cancelled at its engine.
        if let Some(permit) = &mut self.permit {
            permit.caller_left(output_tokens);
        }
        self.record(Used {
            output_tokens,
            ..Used::default()
        })
        .await;
    }

    async fn record(&self, used: Used) {
        if let Some(workspace) = self.job.workspace {
            recorder::record(&self.context, workspace, used).await;
        }
    }

    async fn perform(&mut self, command: RequestCommand) {
        match command {
            RequestCommand::Acquire { excluded } => self.acquire(excluded).await,
            RequestCommand::AskBudget => self.ask_budget().await,
            RequestCommand::Send {
                attempt,
                target,
                resume,
            } => self.send(attempt, target, resume).await,
            RequestCommand::Deliver { text } => self.deliver(&text).await,
            RequestCommand::Complete { reason, tokens } => self.complete(reason, tokens).await,
            RequestCommand::Fail {
                cause,
                not_run,
                retry_after_s,
            } => {
                let refusal = self.refusal.take();
                let error = refusals::given_up(cause, not_run, retry_after_s, refusal);
                self.context.shared.metrics.count_error(&error);
                self.emit(Output::Error(error)).await;
            }
            RequestCommand::Cancel { attempt, .. } => self.cancel(attempt),
            RequestCommand::Crashed { target } => {
                crashes::crashed(&self.context, self.job.fingerprint, target).await;
                self.crashed = true;
            }
            RequestCommand::Export { attempt, .. } => self.export(attempt).await,
            RequestCommand::Import { to, handle, .. } => self.import(to, handle).await,
            RequestCommand::Release { .. } => self.next_permit = None,
        }
    }

    async fn ask_budget(&mut self) {
        let granted = !self.delivered_other && crashes::take_retry(&self.context, self.job.route);
        let verdict = crashes::verdict(&self.context, self.job.fingerprint);
        if std::mem::take(&mut self.crashed) && granted && verdict == Verdict::Suspect {
            tokio::select! {
                biased;
                () = self.output.closed() => return self.caller_gone().await,
                () = sleep(CRASH_PAUSE) => {}
            }
        }
        self.feed(RequestEvent::Budget { granted });
    }

    async fn deliver(&mut self, text: &str) {
        let shared = &self.context.shared;
        shared.metrics.count(Counter::OutputTokens);
        if self.machine.delivered_tokens() == 1 {
            let passed = shared.clock.now().saturating_sub(self.job.arrived);
            shared.metrics.add_time(Counter::FirstByteMicros, passed);
        }
        let mut first = false;
        if let Some(permit) = &mut self.permit {
            first = permit.first_token();
            permit.generated(1);
        }
        let chunk = self.chunk.take().filter(|c| c.text == text);
        if let Some(chunk) = chunk.filter(|c| self.job.streamed && !c.has_other) {
            let events = output::chunk_event(chunk.value, self.job.request);
            self.emit(Output::Events(events)).await;
        }
        if first {
            self.follow_plan();
        }
    }

    async fn complete(&mut self, reason: String, tokens: u64) {
        self.connection = None;
        self.context.shared.metrics.count(Counter::Answers);
        crashes::succeeded(&self.context, self.job.route);
        let fingerprint = self.job.fingerprint;
        let event = QuarantineEvent::Completed { fingerprint };
        crashes::feed(&self.context, fingerprint, event);
        let usage = self.final_usage(tokens);
        if let Some(permit) = self.permit.take() {
            permit.finish(usage.prompt_tokens, usage.completion_tokens);
        }
        self.record(Used {
            requests: 1,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
        })
        .await;
        let (id, model) = (self.job.request, &self.job.chat.model);
        let part = match self.job.streamed {
            true => Output::Events(output::last_events(id, model, reason, usage)),
            false => Output::Whole(Box::new(self.whole(reason, usage))),
        };
        self.emit(part).await;
    }

    /// An engine that resumed may have counted its own part only.
    fn final_usage(&self, tokens: u64) -> Usage {
        let reported = self.usage.unwrap_or_default();
        let prompt_tokens = match self.usage {
            Some(usage) => usage.prompt_tokens,
            None => self.job.prompt_tokens,
        };
        let completion_tokens = reported.completion_tokens.max(tokens);
        Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }

    fn whole(&self, reason: String, usage: Usage) -> ChatAnswer {
        ChatAnswer {
            id: output::answer_id(self.job.request),
            object: "chat.completion".into(),
            model: self.job.chat.model.clone(),
            choices: vec![ChatChoice {
                index: 0,
                message: ChatMessage {
                    role: "assistant".into(),
                    content: self.machine.delivered_text().to_owned(),
                },
                finish_reason: reason,
            }],
            usage,
        }
    }

    /// Error for a workspace that no longer exists.
    pub(super) fn workspace_gone() -> CallerError {
        CallerError::not_run(
            ErrorKind::UnknownKey,
            "the workspace of the key no longer exists",
            "ask the operator for a new key",
        )
    }
}
