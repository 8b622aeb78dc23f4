//! How requests move through vms and engines.

use std::time::Duration;

use jujubebeam_core::fleet::{PlannerCommand, PlannerEvent};
use jujubebeam_core::scheduler::{Arrival, SchedulerCommand, SchedulerEvent};
use jujubebeam_core::settings::document::Priority;
use jujubebeam_core::targets::{Order, Role, TargetState};
use jujubebeam_core::{Machine, RequestId, TargetId, VmId, WorkspaceId, ZoneId};

use super::engine::{Job, Stream};
use super::scenario::Policy;
use super::world::{CHEAP, FIRM, Happening, World};

/// Time after which a caller sends a request again.
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// Time in which a cut answer must be taken up again.
const RESUME_LIMIT: Duration = Duration::from_secs(5);

impl World<'_> {
    pub(crate) fn arrive(&mut self, request: usize) {
        let progress = &mut self.requests[request];
        progress.sent_at = self.now;
        progress.is_open = true;
        self.at(self.now + self.figures.patience, Happening::GiveUp(request));
        self.submit(request);
    }

    /// The caller leaves without a first token, and the request is cancelled where it is.
    pub(crate) fn give_up(&mut self, request: usize) {
        let progress = &mut self.requests[request];
        // A caller that sent the request again waits anew.
        let waited = self.now.saturating_sub(progress.sent_at) >= self.figures.patience;
        if !waited || !progress.is_open || progress.first_token_at.is_some() {
            return;
        }
        progress.is_open = false;
        self.given_up += 1;
        if let Some(position) = progress.engine {
            self.engines[position].cancel(request);
        }
        self.tell_vm(request, |request| SchedulerEvent::Cancel { request });
    }

    fn vm_of(&self, request: usize) -> usize {
        self.requests[request].spec.vm % self.figures.vms
    }

    /// Hands a request, or the rest of a cut one, to its vm.
    fn submit(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let vm = self.vm_of(request);
        if !self.policy.decides() {
            return self.submit_to_baseline(vm, request);
        }
        let progress = &self.requests[request];
        let waited = self.now.saturating_sub(progress.sent_at);
        let deadline = match progress.first_token_at {
            Some(_) => RESUME_LIMIT,
            None => self.figures.first_token.saturating_sub(waited),
        };
        let known = self.policy == Policy::Clairvoyant;
        let left = progress.spec.output_tokens - progress.delivered;
        let arrival = Arrival {
            request: RequestId(request as u128),
            workspace: WorkspaceId(progress.spec.workspace as u64 + 1),
            priority: Priority::Normal,
            weight: 1,
            prompt_tokens: progress.spec.prompt_tokens + progress.delivered,
            known_output_tokens: known.then_some(left),
            prefix: progress.spec.prefix.iter().copied().collect(),
            repeatable: true,
            allow_reclaimable: true,
            deadline,
            ..Arrival::default()
        };
        self.tell_scheduler(vm, SchedulerEvent::Arrival(arrival));
    }

    fn submit_to_baseline(&mut self, vm: usize, request: usize) {
        let Some((target, decode)) = self.baselines[vm].choose() else {
            return self.failed(request);
        };
        self.send(request, target, decode);
    }

    /// Sends a request to an engine.
    fn send(&mut self, request: usize, target: TargetId, decode: Option<TargetId>) {
        let Some(position) = self.position(target) else {
            return self.target_gone(request);
        };
        let decode = decode.and_then(|id| self.position(id));
        let progress = &mut self.requests[request];
        progress.engine = Some(position);
        progress.decode = decode;
        let job = Job {
            request,
            priority: 1,
            context_tokens: progress.spec.prompt_tokens + progress.delivered,
            prefix: progress.spec.prefix.clone(),
            left: None,
        };
        if self.engines[position].state == TargetState::Changing {
            self.cut += 1;
            return self.target_gone(request);
        }
        self.engines[position].push_job(job);
        self.begin_step(position);
    }

    fn begin_step(&mut self, position: usize) {
        let incarnation = self.engines[position].incarnation;
        let Some(length) = self.engines[position].begin_step(&self.figures) else {
            return;
        };
        let start = self.is_paused(position).unwrap_or(self.now);
        self.at(start + length, Happening::StepEnd(position, incarnation));
    }

    pub(crate) fn step_ended(&mut self, position: usize, incarnation: u64) {
        if self.engines[position].incarnation != incarnation || !self.engines[position].alive {
            return;
        }
        let result = self.engines[position].end_step(&self.figures);
        for request in result.finished {
            self.finished(request);
        }
        for job in result.prefilled {
            self.prefilled(position, &job);
        }
        self.begin_step(position);
    }

    fn prefilled(&mut self, position: usize, job: &Job) {
        let request = job.request;
        let progress = &mut self.requests[request];
        progress.first_token_at.get_or_insert(self.now);
        progress.delivered += 1;
        let left = progress
            .spec
            .output_tokens
            .saturating_sub(progress.delivered);
        let decode = progress.decode.take();
        self.tell_vm(request, |request| SchedulerEvent::FirstToken { request });
        if left == 0 {
            return self.finished(request);
        }
        if let Some(decode) = decode {
            return self.transfer(request, decode);
        }
        self.engines[position].batch.push(Stream {
            request,
            context_tokens: job.context_tokens + 1,
            left,
        });
    }

    /// Moves the KV cache of an answer to another engine.
    fn transfer(&mut self, request: usize, to: usize) {
        let progress = &mut self.requests[request];
        progress.engine = Some(to);
        progress.transfers += 1;
        let transfer = progress.transfers;
        let context = progress.spec.prompt_tokens + progress.delivered;
        let at = self.now + self.figures.rates.transfer(context);
        self.at(at, Happening::Import(to, request, transfer));
    }

    pub(crate) fn import(&mut self, position: usize, request: usize, transfer: u32) {
        let progress = &self.requests[request];
        if progress.transfers != transfer || progress.done_at.is_some() {
            return;
        }
        if !self.engines[position].alive || self.engines[position].state == TargetState::Changing {
            self.cut += u32::from(self.engines[position].alive);
            return self.target_gone(request);
        }
        let stream = Stream {
            request,
            context_tokens: progress.spec.prompt_tokens + progress.delivered,
            left: progress.spec.output_tokens - progress.delivered,
        };
        self.engines[position].batch.push(stream);
        self.begin_step(position);
    }

    fn finished(&mut self, request: usize) {
        let progress = &mut self.requests[request];
        progress.done_at = Some(self.now);
        progress.is_open = false;
        progress.delivered = progress.spec.output_tokens;
        let (prompt_tokens, output_tokens) =
            (progress.spec.prompt_tokens, progress.spec.output_tokens);
        self.tell_vm(request, |request| SchedulerEvent::Finish {
            request,
            prompt_tokens,
            output_tokens,
        });
    }

    fn tell_vm(&mut self, request: usize, event: impl Fn(RequestId) -> SchedulerEvent) {
        if self.policy.decides() {
            let vm = self.vm_of(request);
            self.tell_scheduler(vm, event(RequestId(request as u128)));
        }
    }

    /// The engine of a request is gone; the vm takes the request up elsewhere.
    fn target_gone(&mut self, request: usize) {
        self.tell_vm(request, |request| SchedulerEvent::Cancel { request });
        let progress = &mut self.requests[request];
        progress.transfers += 1;
        if progress.attempts >= 3 {
            return self.failed(request);
        }
        self.submit(request);
    }

    /// The caller gets an error, and may send the request again.
    fn failed(&mut self, request: usize) {
        self.refused += 1;
        let progress = &mut self.requests[request];
        progress.is_open = false;
        if progress.tries >= self.scenario.caller_retries || progress.first_token_at.is_some() {
            return;
        }
        progress.tries += 1;
        progress.attempts = 0;
        self.at(self.now + CALLER_PAUSE, Happening::Arrive(request));
    }

    pub(crate) fn lose_zone(&mut self, zone: ZoneId) {
        let mut cut = Vec::new();
        for engine in &mut self.engines {
            if engine.zone == zone && engine.class == CHEAP {
                engine.alive = false;
                cut.extend(engine.cut());
            }
        }
        for position in 0..self.engines.len() {
            let id = self.engines[position].id;
            if !self.engines[position].alive {
                self.baselines.iter_mut().for_each(|b| b.lose(id));
            }
        }
        self.announce_targets();
        for request in cut {
            self.target_gone(request);
        }
    }

    pub(crate) fn deliver_to_vm(&mut self, vm: usize, event: SchedulerEvent) {
        if self.policy.decides() {
            return self.tell_scheduler(vm, event);
        }
        if let SchedulerEvent::Report { target, report, .. } = event
            && self.position(target).is_some()
        {
            self.baselines[vm].hear_report(target, report, self.now);
        }
    }

    pub(crate) fn tell_scheduler(&mut self, vm: usize, event: SchedulerEvent) {
        let mut out = Vec::new();
        self.schedulers[vm].step(event, self.now, &mut out);
        for command in out {
            self.perform(vm, command);
        }
    }

    fn perform(&mut self, vm: usize, command: SchedulerCommand) {
        match command {
            SchedulerCommand::Dispatch {
                request,
                target,
                decode,
            } => self.send(request.0 as usize, target, decode),
            SchedulerCommand::Refuse { request, .. } => self.failed(request.0 as usize),
            SchedulerCommand::Move { request, from, to } => {
                self.move_stream(request.0 as usize, from, to);
            }
            SchedulerCommand::Digest(digest) => {
                let at = self.now + self.figures.gossip_delay;
                let from = VmId(vm as u32);
                for other in (0..self.figures.vms).filter(|o| *o != vm) {
                    let digest = digest.clone();
                    let event = SchedulerEvent::Peer { from, digest };
                    self.at(at, Happening::ToVm(other, Box::new(event)));
                }
                let event = PlannerEvent::Digest { from, digest };
                self.at(at, Happening::ToPlanner(Box::new(event)));
            }
        }
    }

    fn move_stream(&mut self, request: usize, from: TargetId, to: TargetId) {
        let (Some(from), Some(to)) = (self.position(from), self.position(to)) else {
            return;
        };
        let progress = &mut self.requests[request];
        if progress.decode == Some(from) {
            progress.decode = Some(to);
            return;
        }
        if progress.engine != Some(from) {
            return;
        }
        self.engines[from].batch.retain(|s| s.request != request);
        self.transfer(request, to);
    }

    pub(crate) fn tell_planner(&mut self, event: PlannerEvent) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        let mut out = Vec::new();
        planner.step(event, self.now, &mut out);
        for command in out {
            self.perform_plan(command);
        }
    }

    fn perform_plan(&mut self, command: PlannerCommand) {
        match command {
            PlannerCommand::Announce { target, state } => {
                let at = self.now + self.figures.gossip_delay;
                for vm in 0..self.figures.vms {
                    let event = SchedulerEvent::TargetState { target, state };
                    self.at(at, Happening::ToVm(vm, Box::new(event)));
                }
            }
            PlannerCommand::Order {
                target,
                order: Order::SetRole { role },
            } => self.change_role(target, role),
            PlannerCommand::Order { .. } => {}
            PlannerCommand::Buy { zone, class } => {
                let class = if class == CHEAP { CHEAP } else { FIRM };
                let at = self.now + self.figures.start;
                self.at(at, Happening::Started(zone, class));
            }
            PlannerCommand::Release { target } => self.release(target),
        }
    }

    fn change_role(&mut self, target: TargetId, role: Role) {
        let Some(position) = self.position(target) else {
            return;
        };
        self.role_changes += 1;
        let engine = &mut self.engines[position];
        engine.state = TargetState::Changing;
        engine.incarnation += 1;
        self.cut_all(position);
        let at = self.now + self.figures.role_change;
        self.at(at, Happening::RoleDone(position, role));
    }

    fn release(&mut self, target: TargetId) {
        let Some(position) = self.position(target) else {
            return;
        };
        self.engines[position].alive = false;
        self.cut_all(position);
        self.announce_targets();
    }

    fn cut_all(&mut self, position: usize) {
        let cut = self.engines[position].cut();
        self.cut += cut.len() as u32;
        for request in cut {
            self.target_gone(request);
        }
    }
}
