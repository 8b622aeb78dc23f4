//! Targets as processes of their own, which are stopped and continued by their ids.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::planned_work::{draw, is_for};
use super::support::{
    Seen, Server, Step, Store, answer, answer_with, end_of_events, events, not_executed,
};

const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Environment variable with the id and the service of a target that runs as a process.
const TARGET_VARIABLE: &str = "JUJUBEBEAM_SOAK_TARGET";

/// A target process.
pub(crate) struct TargetProcess {
    id: String,
    /// Entry for the store.
    entry: String,
    child: Child,
    pub(crate) is_silent: AtomicBool,
    silences: Mutex<Vec<(Instant, Instant)>>,
}

/// A request that a target runs or continues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) target: usize,
    pub(crate) is_continuation: bool,
}

/// Runs by the id of the request.
pub(crate) type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

impl TargetProcess {
    /// Starts this binary as a target, which reports its runs.
    pub(crate) fn start(number: usize, service: &str, runs: &Runs) -> Self {
        let id = format!("i-{number}");
        let own = std::env::current_exe().expect("the test has a file");
        let mut child = Command::new(own)
            .args(["--exact", "target_process::serve_until_input_ends"])
            .arg("--nocapture")
            // The kernel ends stopped processes of a group whose last parent outside of it has ended.
            .process_group(0)
            .env(TARGET_VARIABLE, format!("{id} {service}"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the target starts");
        let output = BufReader::new(child.stdout.take().expect("the output is a pipe"));
        let mut lines = output.lines().map_while(Result::ok);
        let entry = lines.find_map(|line| line.strip_prefix("entry ").map(str::to_owned));
        let runs = runs.clone();
        std::thread::spawn(move || {
            for line in lines {
                let Some((what, id)) = line.split_once(' ') else {
                    continue;
                };
                let run = Run {
                    target: number,
                    is_continuation: what == "continues",
                };
                let mut runs = runs.lock().expect("no test panicked");
                runs.entry(id.to_owned()).or_default().push(run);
            }
        });
        Self {
            id,
            entry: entry.expect("the target listens"),
            child,
            is_silent: AtomicBool::new(false),
            silences: Mutex::default(),
        }
    }

    pub(crate) fn register(&self, store: &Store) {
        store.put_server(&self.id, &self.entry);
    }

    pub(crate) fn silences(&self) -> usize {
        self.silences.lock().expect("no test panicked").len()
    }

    /// Stops the process for a time. A process of its own continues it, also if this one is killed.
    pub(crate) fn be_silent(&self, time: Duration) {
        let script = "kill -STOP $0; sleep $1; kill -CONT $0";
        let from = Instant::now();
        let status = Command::new("sh")
            .args(["-c", script, &self.child.id().to_string()])
            .arg(time.as_secs_f64().to_string())
            .status();
        assert!(status.expect("`sh` runs").success());
        let mut silences = self.silences.lock().expect("no test panicked");
        silences.push((from, Instant::now()));
        self.is_silent.store(false, Ordering::SeqCst);
    }

    /// Longest silence within a time.
    pub(crate) fn longest_silence(&self, from: Instant, until: Instant) -> Duration {
        let silences = self.silences.lock().expect("no test panicked");
        let within = silences
            .iter()
            .map(|(start, end)| until.min(*end).saturating_duration_since(from.max(*start)));
        within.max().unwrap_or_default()
    }
}

impl Drop for TargetProcess {
    fn drop(&mut self) {
        self.child.kill().expect("the process is a child");
        self.child.wait().expect("the process is a child");
    }
}

/// Serves as a target until the process that started this one ends, if it was started as one. Writes
/// its entry and the requests that it runs to its output.
#[test]
fn serve_until_input_ends() {
    let Ok(text) = std::env::var(TARGET_VARIABLE) else {
        return;
    };
    let (id, service) = text.split_once(' ').expect("ID SERVICE");
    let own = id.to_owned();
    let server = Server::start(move |seen| behave(&own, seen));
    // The test harness has begun a line.
    println!("\nentry {}", server.entry(service).replace('\n', " "));
    // Errors end the process too.
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

/// Last event of a stream.
pub(crate) fn last_event(id: &str) -> u64 {
    10 + draw(id) % 30
}

/// Refuses every second continuation, and one in eight of the other requests.
fn behave(own: &str, seen: &Seen) -> Vec<Step> {
    if !is_for(own, seen) {
        return answer_with(seen, 421, "X-Not-Executed: 1", "");
    }
    let (id, path) = (seen.id(), seen.path());
    let is_continuation = seen.header("last-event-id").is_some();
    let refused_of_8 = if is_continuation { 4 } else { 1 };
    if draw(&format!("{own} {id}")) % 8 < refused_of_8 {
        return not_executed(seen);
    }
    println!(
        "{} {id}",
        if is_continuation { "continues" } else { "runs" }
    );
    if path.starts_with("/read/") || path.starts_with("/charge/") {
        let Some(Step::Send(text)) = answer(seen, 200, &format!("ran {id}")).pop() else {
            unreachable!("an answer is one step");
        };
        let pause = Step::Pause(Duration::from_millis(20 + draw(id) % 400));
        let (start, end) = text.split_at(text.len() - 4);
        let parts = [start, end].map(|part| Step::Send(part.to_owned()));
        return parts.into_iter().flat_map(|s| [pause.clone(), s]).collect();
    }
    let steps = events(seen, seen.resumes_after() + 1..=last_event(id)).into_iter();
    let steps = steps.flat_map(|step| [Step::Pause(EVENT_PAUSE), step]);
    steps.chain([end_of_events()]).collect()
}
