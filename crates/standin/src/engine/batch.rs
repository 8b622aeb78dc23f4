//! Continuous batching: waiting and running requests, and what one step does.

use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::cache::PrefixCache;
use super::config::EngineConfig;

/// What a running request sends to its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Generated token at this position.
    Token(u64),
    /// All tokens were generated.
    End,
}

/// One request in the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Attempt that the request belongs to.
    pub(crate) attempt: String,
    /// Higher runs first.
    pub(crate) priority: u8,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Hashes of the prompt's pieces.
    pub(crate) pieces: Vec<u64>,
    /// Prompt and resumed tokens that are not processed yet.
    pub(crate) to_prefill: u64,
    /// True if the KV cache was imported, so that nothing is processed again.
    pub(crate) imported: bool,
    /// Position of the next token.
    pub(crate) next: u64,
    /// Number of tokens of the whole answer.
    pub(crate) total: u64,
    /// The answer.
    pub(crate) output: UnboundedSender<Output>,
}

impl Sequence {
    fn context(&self) -> u64 {
        self.prompt_tokens + self.next
    }
}

/// Requests of an engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Requests that wait, in the order of arrival.
    pub(crate) waiting: Vec<Sequence>,
    /// Requests that run.
    pub(crate) running: Vec<Sequence>,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub(crate) fn context_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::context).sum()
    }

    pub(crate) fn queued_prompt_tokens(&self) -> u64 {
        let running = self.running.iter().map(|s| s.to_prefill);
        let waiting = self.waiting.iter().map(|s| s.to_prefill);
        running.chain(waiting).sum()
    }

    /// Removes a request. Its answer ends without a finish reason.
    pub(crate) fn remove(&mut self, attempt: &str) -> Option<Sequence> {
        if let Some(i) = self.running.iter().position(|s| s.attempt == attempt) {
            return Some(self.running.remove(i));
        }
        let i = self.waiting.iter().position(|s| s.attempt == attempt)?;
        Some(self.waiting.remove(i))
    }

    /// Moves waiting requests into the batch, highest priority first.
    pub(crate) fn admit(&mut self, config: &EngineConfig, cache: &mut PrefixCache) {
        self.waiting.retain(|s| !s.output.is_closed());
        while self.running.len() < config.batch_limit && !self.waiting.is_empty() {
            let highest = self.waiting.iter().map(|s| s.priority).max();
            let first = self
                .waiting
                .iter()
                .position(|s| Some(s.priority) == highest);
            let mut sequence = self.waiting.remove(first.unwrap_or(0));
            if !sequence.imported && !sequence.pieces.is_empty() {
                let hits = cache.hit(&sequence.pieces) as u64;
                let cached = sequence.prompt_tokens * hits / sequence.pieces.len() as u64;
                sequence.to_prefill = sequence.to_prefill.saturating_sub(cached);
            }
            self.running.push(sequence);
        }
    }

    /// Time of the next step.
    pub(crate) fn step_time(&self, config: &EngineConfig) -> Duration {
        let requests = self.running.len() as u64 * config.step_per_request_us;
        let context = self.context_tokens() * config.step_per_1000_context_us / 1000;
        Duration::from_micros(config.step_us + requests + context)
    }

    /// Performs a step that took `time`: prefill first, then one token of each ready request.
    pub(crate) fn step(&mut self, time: Duration, config: &EngineConfig, cache: &mut PrefixCache) {
        let prefill = config.prefill_tokens_per_s as f64 * time.as_secs_f64();
        let mut budget = prefill as u64;
        self.running.retain_mut(|sequence| {
            if sequence.output.is_closed() {
                return false;
            }
            let processed = sequence.to_prefill.min(budget);
            budget -= processed;
            sequence.to_prefill -= processed;
            if sequence.to_prefill > 0 {
                return true;
            }
            if !sequence.pieces.is_empty() {
                cache.store(&std::mem::take(&mut sequence.pieces));
            }
            if sequence.next < sequence.total {
                let _ = sequence.output.send(Output::Token(sequence.next));
                sequence.next += 1;
            }
            if sequence.next < sequence.total {
                return true;
            }
            let _ = sequence.output.send(Output::End);
            false
        });
    }
}
