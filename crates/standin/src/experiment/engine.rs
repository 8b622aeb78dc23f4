//! A small engine model: continuous batching, chunked prefill and a prefix cache in pieces.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jujubebeam_core::targets::{CacheEvent, LoadReport, Role, TargetState};
use jujubebeam_core::{Incarnation, TargetId, ZoneId};

use super::figures::Figures;

/// A prompt in the engine's queue.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) priority: u8,
    pub(crate) context_tokens: u64,
    pub(crate) prefix: Vec<u64>,
    /// Tokens left to compute, once the prompt was looked up in the cache.
    pub(crate) left: Option<f64>,
}

/// An answer in generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) request: usize,
    pub(crate) context_tokens: u64,
    pub(crate) left: u64,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    pub(crate) prefilled: Vec<Job>,
    pub(crate) finished: Vec<usize>,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: TargetId,
    pub(crate) zone: ZoneId,
    pub(crate) class: &'static str,
    pub(crate) role: Role,
    pub(crate) state: TargetState,
    pub(crate) alive: bool,
    pub(crate) speed: f64,
    pub(crate) jobs: VecDeque<Job>,
    pub(crate) batch: Vec<Stream>,
    pub(crate) step: Option<(f64, usize)>,
    pub(crate) incarnation: u64,
    pub(crate) fresh_events: Vec<CacheEvent>,
    cache: BTreeMap<u64, u64>,
    recency: BTreeMap<u64, u64>,
    uses: u64,
    seq: u64,
}

impl Engine {
    pub(crate) fn new(id: u64, zone: ZoneId, role: Role, speed: f64) -> Self {
        Self {
            id: TargetId(id),
            zone,
            class: "",
            role,
            state: TargetState::Serving,
            alive: true,
            speed,
            jobs: VecDeque::new(),
            batch: Vec::new(),
            step: None,
            incarnation: 1,
            fresh_events: Vec::new(),
            cache: BTreeMap::new(),
            recency: BTreeMap::new(),
            uses: 0,
            seq: 0,
        }
    }

    pub(crate) fn push_job(&mut self, job: Job) {
        let place = self
            .jobs
            .iter()
            .skip(1)
            .position(|j| j.priority < job.priority);
        match place {
            Some(position) => self.jobs.insert(position + 1, job),
            None => self.jobs.push_back(job),
        }
    }

    /// Begins a step if there is work, and returns its length.
    pub(crate) fn begin_step(&mut self, figures: &Figures) -> Option<Duration> {
        if !self.alive || self.step.is_some() || self.state == TargetState::Changing {
            return None;
        }
        let budget = match (self.role, self.batch.is_empty()) {
            (Role::Mixed, false) => figures.rates.mixed_chunk_tokens,
            (Role::Decode, false) => 0.0,
            _ => figures.prefill_step_tokens,
        };
        let chunk = if self.jobs.is_empty() {
            0.0
        } else {
            self.available(budget, figures)
        };
        if chunk <= 0.0 && self.batch.is_empty() {
            return None;
        }
        let mut ms = 1000.0 * chunk / figures.rates.prefill_tokens_per_s;
        if !self.batch.is_empty() {
            ms += figures
                .rates
                .step_ms(self.batch.len() as u32, self.context_tokens());
        }
        self.step = Some((chunk, self.batch.len()));
        Some(Duration::from_secs_f64(ms / 1000.0 / self.speed))
    }

    fn available(&mut self, budget: f64, figures: &Figures) -> f64 {
        let mut sum = 0.0;
        for position in 0..self.jobs.len() {
            if sum >= budget {
                break;
            }
            if self.jobs[position].left.is_none() {
                let left = self.uncached(position, figures);
                self.jobs[position].left = Some(left);
            }
            sum += self.jobs[position].left.unwrap_or_default();
        }
        sum.min(budget)
    }

    fn uncached(&mut self, position: usize, figures: &Figures) -> f64 {
        let job = &self.jobs[position];
        let pieces = job
            .prefix
            .iter()
            .take_while(|h| self.cache.contains_key(h))
            .count();
        let cached = pieces as u64 * u64::from(figures.rates.cache_piece_tokens);
        let left = job.context_tokens.saturating_sub(cached).max(1);
        let used: Vec<u64> = job.prefix[..pieces].to_vec();
        for hash in used {
            self.touch(hash);
        }
        left as f64
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(old) = self.cache.insert(hash, self.uses) {
            self.recency.remove(&old);
        }
        self.recency.insert(self.uses, hash);
    }

    /// Ends the step that was begun.
    pub(crate) fn end_step(&mut self, figures: &Figures) -> StepResult {
        let mut result = StepResult::default();
        let Some((mut chunk, decoding)) = self.step.take() else {
            return result;
        };
        let mut position = 0;
        self.batch.retain_mut(|stream| {
            position += 1;
            if position > decoding {
                return true;
            }
            stream.left = stream.left.saturating_sub(1);
            stream.context_tokens += 1;
            if stream.left == 0 {
                result.finished.push(stream.request);
            }
            stream.left > 0
        });
        while chunk > 0.0 {
            let Some(job) = self.jobs.front_mut() else {
                break;
            };
            let Some(left) = job.left.as_mut() else {
                break;
            };
            let done = chunk.min(*left);
            *left -= done;
            chunk -= done;
            if *left > 1e-6 {
                break;
            }
            if let Some(job) = self.jobs.pop_front() {
                self.store(&job.prefix, figures);
                result.prefilled.push(job);
            }
        }
        result
    }

    fn store(&mut self, prefix: &[u64], figures: &Figures) {
        for hash in prefix {
            let known = self.cache.contains_key(hash);
            self.touch(*hash);
            if !known {
                self.publish(*hash, true);
            }
        }
        while self.cache.len() > figures.cache_pieces {
            let Some((_, hash)) = self.recency.pop_first() else {
                return;
            };
            self.cache.remove(&hash);
            self.publish(hash, false);
        }
    }

    fn publish(&mut self, prefix_hash: u64, stored: bool) {
        self.seq += 1;
        self.fresh_events.push(CacheEvent {
            seq: self.seq,
            prefix_hash,
            stored,
        });
    }

    fn context_tokens(&self) -> u64 {
        self.batch.iter().map(|s| s.context_tokens).sum()
    }

    pub(crate) fn report(&self) -> LoadReport {
        let queued = self
            .jobs
            .iter()
            .map(|j| j.left.map_or(j.context_tokens, |l| l as u64));
        LoadReport {
            incarnation: Incarnation(self.incarnation),
            role: self.role,
            state: self.state,
            running_requests: self.batch.len() as u32,
            waiting_requests: self.jobs.len() as u32,
            queued_prompt_tokens: queued.sum(),
            running_context_tokens: self.context_tokens(),
            ..LoadReport::default()
        }
    }

    /// Drops a prompt that is not computed yet. A step that has begun spends its time on the next
    /// prompts instead.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.jobs.retain(|j| j.request != request);
    }

    /// Drops all work and returns its requests.
    pub(crate) fn cut(&mut self) -> Vec<usize> {
        self.step = None;
        let jobs = self.jobs.drain(..).map(|j| j.request);
        let streams = self.batch.drain(..).map(|s| s.request);
        jobs.chain(streams).collect()
    }
}
