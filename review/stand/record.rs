//! Record of what was sent, answered and run.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines with the time since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: String) {
        let at = self.now();
        self.lines.lock().expect("not poisoned").push((at, line));
    }

    /// Writes all lines in order, and `summary` before them.
    pub fn write(&self, path: &Path, summary: &[String]) {
        let mut lines = self.lines.lock().expect("not poisoned").clone();
        lines.sort();
        let mut text = summary.join("\n");
        text.push_str("\n\nAll events, in seconds since the start:\n");
        for (at, line) in lines {
            text.push_str(&format!("{:9.3}  {line}\n", at.as_secs_f64()));
        }
        let file = std::fs::File::create(path);
        let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
        written.expect("the record is written");
    }
}
