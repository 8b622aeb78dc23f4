//! The record of a play: what was sent, answered and run, with the time since its start.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Time since the start of the play.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, folder: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = std::fs::write(folder.join("record.txt"), text) {
            eprintln!("record.txt cannot be written: {error}");
        }
    }
}
