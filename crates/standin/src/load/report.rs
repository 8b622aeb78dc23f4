//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Largest recorded time; longer times count as this one.
const LONGEST_US: u64 = 600_000_000;

/// Times of one kind.
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self {
            histogram: histogram.expect("the bounds are valid"),
        }
    }
}

impl Times {
    pub(crate) fn record(&mut self, time: Duration) {
        self.histogram
            .saturating_record((time.as_micros() as u64).max(1));
    }

    pub(crate) fn add(&mut self, other: &Times) {
        self.histogram
            .add(&other.histogram)
            .expect("all histograms have the same bounds");
    }

    /// Quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    fn json(&self) -> Value {
        json!({
            "count": self.count(),
            "p50_ms": self.quantile_ms(0.5),
            "p95_ms": self.quantile_ms(0.95),
            "p99_ms": self.quantile_ms(0.99),
            "max_ms": self.quantile_ms(1.0),
        })
    }

    fn line(&self, name: &str) -> String {
        format!(
            "{name:<16}{:>9}{:>11.2}{:>11.2}{:>11.2}{:>11.2}\n",
            self.count(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.95),
            self.quantile_ms(0.99),
            self.quantile_ms(1.0)
        )
    }
}

/// Figures of one run.
#[derive(Default)]
pub(crate) struct Report {
    /// Time of the run.
    pub(crate) elapsed: Duration,
    /// Whole and correct answers.
    pub(crate) whole: u64,
    /// Requests that were not started, because too many were running.
    pub(crate) not_started: u64,
    /// Requests that went to another address, because the first refused the connection.
    pub(crate) redirected: u64,
    /// Errors by kind.
    pub(crate) errors: BTreeMap<String, u64>,
    /// Times until the first token.
    pub(crate) first_token: Times,
    /// Times between tokens.
    pub(crate) between_tokens: Times,
    /// Times until the answer was whole.
    pub(crate) whole_answer: Times,
}

impl Report {
    pub(crate) fn error(&mut self, kind: impl Into<String>) {
        *self.errors.entry(kind.into()).or_default() += 1;
    }

    fn per_s(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "elapsed_s": self.elapsed.as_secs_f64(),
            "whole": self.whole,
            "whole_per_s": self.per_s(),
            "not_started": self.not_started,
            "redirected": self.redirected,
            "errors": self.errors,
            "first_token": self.first_token.json(),
            "between_tokens": self.between_tokens.json(),
            "whole_answer": self.whole_answer.json(),
        })
    }

    pub(crate) fn table(&self) -> String {
        let mut text = format!(
            "{} whole answers in {:.1} s ({:.1}/s), {} not started, {} redirected\n",
            self.whole,
            self.elapsed.as_secs_f64(),
            self.per_s(),
            self.not_started,
            self.redirected
        );
        for (kind, count) in &self.errors {
            text.push_str(&format!("error {kind}: {count}\n"));
        }
        let names = ["times", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"];
        let [first, rest @ ..] = names;
        text.push_str(&format!("{first:<16}"));
        for (i, name) in rest.iter().enumerate() {
            let width = if i == 0 { 9 } else { 11 };
            text.push_str(&format!("{name:>width$}"));
        }
        text.push('\n');
        text.push_str(&self.first_token.line("first token"));
        text.push_str(&self.between_tokens.line("between tokens"));
        text.push_str(&self.whole_answer.line("whole answer"));
        text
    }
}
