//! Random faults, singly, in pairs and the same one twice, under load. `JUJUBEBEAM_SEEDS` sets the
//! number of seeds and `JUJUBEBEAM_PROCESS_SECONDS` the time of each.

mod support;

use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use support::{BINARY, Fleet, VMS};

const FAULTS: [&str; 9] = [
    "kill vm",
    "pause vm",
    "cut off",
    "cut pair",
    "cut from store",
    "store outage",
    "lost answers",
    "engine crash",
    "zone withdrawn",
];

fn number(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

struct Run {
    fleet: Fleet,
    random: SmallRng,
    killed: Vec<u16>,
    paused: Vec<u16>,
}

impl Run {
    /// A vm that runs; half of the fleet stays untouched by kills and pauses.
    fn vm(&mut self) -> Option<u16> {
        let vm = self.random.random_range(0..VMS);
        let used = self.killed.contains(&vm) || self.paused.contains(&vm);
        let full = self.killed.len() + self.paused.len() >= usize::from(VMS / 2);
        (!used && !full).then_some(vm)
    }

    fn inject(&mut self, fault: &str) {
        let (vm, other) = (
            self.random.random_range(1..=VMS),
            self.random.random_range(1..=VMS),
        );
        let relay = |fault: String| self.fleet.set_fault(self.fleet.relay(), &fault);
        let store = |fault: &str| self.fleet.set_fault(self.fleet.platform(), fault);
        match fault {
            "kill vm" => {
                if let Some(vm) = self.vm() {
                    self.fleet.signal(self.fleet.vm_process(vm), "KILL");
                    self.killed.push(vm);
                }
            }
            "pause vm" => {
                if let Some(vm) = self.vm() {
                    self.fleet.signal(self.fleet.vm_process(vm), "STOP");
                    self.paused.push(vm);
                }
            }
            "cut off" => relay(format!(r#"{{"platform":[{vm}],"isolated":[{vm}]}}"#)),
            "cut pair" => relay(format!(r#"{{"pairs":[[{vm},{other}]]}}"#)),
            "cut from store" => relay(format!(r#"{{"platform":[{vm},{other}]}}"#)),
            "store outage" => store(r#"{"store":{"outage":true}}"#),
            "lost answers" => store(r#"{"store":{"lose_answers":4}}"#),
            "engine crash" => {
                let port = *self
                    .fleet
                    .engines()
                    .choose(&mut self.random)
                    .expect("engines");
                self.fleet.crash_engine(port);
            }
            _ => {
                // Engines are spread over three zones in turn.
                let zone = self.random.random_range(0..3);
                for port in self.fleet.engines().into_iter().skip(zone).step_by(3) {
                    self.fleet.crash_engine(port);
                }
            }
        }
    }

    fn heal(&mut self) {
        self.fleet.clear_faults(self.fleet.relay());
        self.fleet.clear_faults(self.fleet.platform());
        for vm in std::mem::take(&mut self.paused) {
            self.fleet.signal(self.fleet.vm_process(vm), "CONT");
        }
        for vm in std::mem::take(&mut self.killed) {
            self.fleet.restart_vm(vm);
        }
        for port in self.fleet.engines() {
            if support::send(port, "GET", "/load", "", "").is_none() {
                self.fleet.restart_engine(port);
            }
        }
    }
}

fn start_load(fleet: &Fleet, seed: u64, seconds: u64) -> Child {
    let urls: Vec<_> = (0..VMS)
        .map(|vm| format!("http://127.0.0.1:{}", fleet.vm(vm)))
        .collect();
    let (entries, seconds, seed) = (urls.join(","), seconds.to_string(), seed.to_string());
    let options = [
        "--rate",
        "40",
        "--concurrency",
        "64",
        "--mix",
        "mixed",
        "--output",
        "json",
    ];
    Command::new(BINARY)
        .args([
            "load",
            "--entry",
            &entries,
            "--seconds",
            &seconds,
            "--seed",
            &seed,
        ])
        .args(options)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in binary starts")
}

fn run(seed: u64, seconds: u64) {
    let mut run = Run {
        fleet: Fleet::with(&["--relays", "--usage-window-s", "2"]),
        random: SmallRng::seed_from_u64(seed),
        killed: Vec::new(),
        paused: Vec::new(),
    };
    let load = start_load(&run.fleet, seed, seconds);
    let started = Instant::now();
    let mut drawn = Vec::new();
    while started.elapsed() < Duration::from_secs(seconds) {
        let first = *FAULTS.choose(&mut run.random).expect("faults");
        let second = *FAULTS.choose(&mut run.random).expect("faults");
        let faults = match run.random.random_range(0..4) {
            0 => vec![first],
            1 => vec![first, first],
            _ => vec![first, second],
        };
        for fault in &faults {
            run.inject(fault);
            thread::sleep(Duration::from_millis(run.random.random_range(0..800)));
        }
        drawn.push(faults.join(" + "));
        thread::sleep(Duration::from_millis(run.random.random_range(500..3000)));
        run.heal();
        thread::sleep(Duration::from_millis(run.random.random_range(500..2000)));
    }
    let output = load.wait_with_output().expect("the load tool ends");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a report");
    println!(
        "seed {seed}: {drawn:?}: whole {} errors {}",
        report["whole"], report["errors"]
    );
    for wrong in ["wrong_answer", "executed_twice", "malformed"] {
        assert!(report["errors"][wrong].is_null(), "seed {seed}: {report}");
    }
    assert!(report["whole"].as_u64() > Some(0), "seed {seed}: {report}");
    for vm in 0..VMS {
        run.fleet.until_whole(vm);
    }
    run.fleet.check_all();
}

/// Guards against what only a combination of failures shows: an answer that is not its caller's
/// own, a key at a target, a second execution, and any violation that a vm counts.
#[test]
fn random_faults_break_no_invariant() {
    let seconds = number("JUJUBEBEAM_PROCESS_SECONDS", 30);
    for seed in 0..number("JUJUBEBEAM_SEEDS", 1) {
        run(seed, seconds);
    }
}
