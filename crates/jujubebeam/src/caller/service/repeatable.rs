//! Requests to plain services that may be repeated.

use std::collections::VecDeque;

use jujubebeam_caller::CallerError;
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::request::{
    Attempt, Close, RequestCommand, RequestConfig, RequestEvent, RequestMachine,
};
use jujubebeam_core::{Clock, Machine};
use ntex::time::{Millis, timeout};

use super::{Answer, Job, call};
use crate::caller::refusals;
use crate::context::Context;
use crate::crashes;
use crate::dispatch::Permit;

struct Run<'a> {
    context: &'a Context,
    job: &'a Job,
    machine: RequestMachine,
    commands: VecDeque<RequestCommand>,
    permit: Option<Permit>,
    refusal: Option<CallerError>,
    answer: Option<Answer>,
}

/// Runs the request until it has a whole answer or is given up.
pub(super) async fn run(context: &Context, job: &Job) -> Result<Answer, CallerError> {
    let mut run = Run {
        context,
        job,
        machine: RequestMachine::new(RequestConfig::default()),
        commands: VecDeque::new(),
        permit: None,
        refusal: None,
        answer: None,
    };
    run.feed(RequestEvent::Start);
    loop {
        let Some(command) = run.commands.pop_front() else {
            // The machine always has a command left until it gives the final answer.
            run.feed(RequestEvent::Expired);
            continue;
        };
        if let Some(result) = run.perform(command).await {
            return result;
        }
    }
}

impl Run<'_> {
    fn feed(&mut self, event: RequestEvent) {
        let mut out = Vec::new();
        let now = self.context.shared.clock.now();
        self.machine.step(event, now, &mut out);
        self.commands.extend(out);
    }

    async fn perform(&mut self, command: RequestCommand) -> Option<Result<Answer, CallerError>> {
        match command {
            RequestCommand::Acquire { excluded } => {
                match call::acquire(self.context, self.job, excluded).await {
                    Ok(permit) => {
                        let target = permit.target.id;
                        self.permit = Some(permit);
                        self.feed(RequestEvent::Granted { target });
                    }
                    Err(error) => {
                        self.refusal = Some(error);
                        self.feed(RequestEvent::Refused);
                    }
                }
            }
            RequestCommand::AskBudget => {
                let granted = crashes::take_retry(self.context, self.job.route);
                self.feed(RequestEvent::Budget { granted });
            }
            RequestCommand::Send { attempt, .. } => self.send(attempt).await,
            RequestCommand::Crashed { target } => {
                crashes::crashed(self.context, self.job.fingerprint(), target).await;
            }
            RequestCommand::Complete { .. } => return self.complete(),
            RequestCommand::Fail {
                cause,
                not_run,
                retry_after_s,
            } => {
                let refusal = self.refusal.take();
                let error = refusals::given_up(cause, not_run, retry_after_s, refusal);
                return Some(Err(error));
            }
            // Answers of plain services are whole bodies, and their requests are not moved.
            RequestCommand::Deliver { .. }
            | RequestCommand::Cancel { .. }
            | RequestCommand::Export { .. }
            | RequestCommand::Import { .. }
            | RequestCommand::Release { .. } => {}
        }
        None
    }

    fn complete(&mut self) -> Option<Result<Answer, CallerError>> {
        crashes::succeeded(self.context, self.job.route);
        let fingerprint = self.job.fingerprint();
        let event = QuarantineEvent::Completed { fingerprint };
        crashes::feed(self.context, fingerprint, event);
        if let Some(permit) = self.permit.take() {
            permit.finish(0, 0);
        }
        self.answer.take().map(Ok)
    }

    async fn send(&mut self, attempt: Attempt) {
        let Some(permit) = &self.permit else {
            return;
        };
        let wait = self.job.remaining(self.context).as_millis();
        let wait = Millis(wait.min(u128::from(u32::MAX)) as u32);
        let client = &self.context.targets;
        let sent = call::call(
            self.context,
            client,
            self.job,
            &permit.target.address,
            attempt.0,
        );
        match timeout(wait, sent).await {
            Err(()) => self.feed(RequestEvent::Expired),
            Ok(Err(error)) => {
                let close = match error.is_unsent() {
                    true => Close::NotSent,
                    false => Close::StreamEnded,
                };
                self.feed(RequestEvent::Closed { attempt, close });
            }
            Ok(Ok(answer)) => {
                self.answer = Some(answer);
                let echoed = Some(attempt);
                self.feed(RequestEvent::Head { attempt, echoed });
                let reason = "body".into();
                self.feed(RequestEvent::Finish { attempt, reason });
                self.feed(RequestEvent::DoneMark { attempt });
            }
        }
    }
}
