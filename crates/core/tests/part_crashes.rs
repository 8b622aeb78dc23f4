//! Crash counts of prompt parts in fleets: which requests still reach servers, and which sound ones
//! are refused.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jujubebeam_core::TargetId;
use jujubebeam_core::gateway::{PartCrashConfig, PartCrashes};
use jujubebeam_core::quarantine::{Fingerprint, QuarantineMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time in which all vms must know of the fifth crash, and requests that may reach servers later.
const CONTACT_MS: u64 = 3000;
const COUNTED_CRASHES: usize = 5;
const LATE_REQUESTS: usize = 3;

const TICK_MS: u64 = 10;
const QUERY_INTERVAL_MS: u64 = 250;
const LINK_MS: std::ops::Range<u64> = 2..25;
const LOST_MESSAGES: f64 = 0.05;
const REQUESTS_PER_SERVER: usize = 6;
/// Time from the start of an answer to the crash, and until the server is back.
const CRASH_DELAY_MS: u64 = 30;
const RESTART_MS: u64 = 3000;
const SOUND_TIME_MS: std::ops::Range<u64> = 40..400;

const FIRST_PARTS: u64 = 3;
const SUBJECTS: u64 = 200;
const RARE: u64 = 900;
const VICTIM: u64 = 901;
const CRASHING: u64 = 1000;
const MODELS: [&str; 2] = ["m", "other"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy)]
struct Scenario {
    vms: usize,
    servers: usize,
    /// Number of crashing parts, and time between requests with one.
    crashing: u64,
    crashing_interval_ms: u64,
    /// Whether the parts crash servers on the first model only, and come with the other one too.
    one_model: bool,
    /// Whether requests with a crashing part also have a part of sound requests.
    has_victim: bool,
    /// Whether a tenth of the servers crashes at once, without a cause in a request.
    crash_of_tenth: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 6,
            servers: 20,
            crashing: 1,
            crashing_interval_ms: 100,
            one_model: false,
            has_victim: false,
            crash_of_tenth: false,
        }
    }
}

struct Request {
    vm: usize,
    parts: Vec<Fingerprint>,
    crashing: Option<u64>,
    ends_at: u64,
}

#[derive(Default)]
struct Server {
    run: u64,
    down_until: u64,
    requests: Vec<Request>,
}

enum Event {
    Messages(usize, usize, Vec<QuarantineMessage>),
    Query(usize),
}

/// Sound requests by their rarest part.
#[derive(Default)]
struct Counts {
    sent: usize,
    refused: usize,
}

struct Play {
    scenario: Scenario,
    now: u64,
    vms: Vec<PartCrashes>,
    servers: Vec<Server>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    random: SmallRng,
    crashes: HashMap<u64, Vec<u64>>,
    /// Times at which requests with each crashing part reached servers.
    arrivals: HashMap<u64, Vec<u64>>,
    sound: HashMap<u64, Counts>,
}

impl Play {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut play = Self {
            scenario,
            now: 0,
            vms: Vec::new(),
            servers: Vec::new(),
            events: BTreeMap::new(),
            number: 0,
            random: SmallRng::seed_from_u64(seed),
            crashes: HashMap::new(),
            arrivals: HashMap::new(),
            sound: HashMap::new(),
        };
        for vm in 0..scenario.vms {
            play.vms.push(PartCrashes::new(PartCrashConfig::default()));
            let delay = play.random.random_range(0..QUERY_INTERVAL_MS);
            play.after(delay, Event::Query(vm));
        }
        play.servers.resize_with(scenario.servers, Server::default);
        play
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.insert((self.now + delay, self.number), event);
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(LOST_MESSAGES)
    }

    fn broadcast(&mut self, from: usize, messages: &[QuarantineMessage]) {
        if messages.is_empty() {
            return;
        }
        for to in 0..self.vms.len() {
            if to != from && !self.is_lost() {
                let delay = self.random.random_range(LINK_MS);
                self.after(delay, Event::Messages(from, to, messages.to_vec()));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = ms(self.now);
        match event {
            Event::Messages(from, to, messages) => {
                let vm = &mut self.vms[to];
                let messages = messages.into_iter();
                let missed: Vec<_> = messages.filter_map(|m| vm.receive(m, now)).collect();
                if !missed.is_empty() {
                    let delay = self.random.random_range(LINK_MS);
                    self.after(delay, Event::Messages(to, from, missed));
                }
            }
            Event::Query(vm) => {
                self.after(QUERY_INTERVAL_MS, Event::Query(vm));
                let to = self.random.random_range(0..self.vms.len());
                if to == vm || self.is_lost() {
                    return;
                }
                let reports = self.vms[vm].recent_reports(now);
                let digest = self.vms[vm].digest(now);
                self.vms[to].merge(&reports, now);
                let reply = self.vms[to].reports_for(digest, now);
                self.vms[vm].merge(&reply, now);
            }
        }
    }

    /// Sends a request unless it is refused. Its last part, which no other request has, does not
    /// count.
    fn send(&mut self, parts: &[u64], model: &str, crashing: Option<u64>) {
        let vm = self.random.random_range(0..self.vms.len());
        let fingerprints: Vec<_> = parts
            .iter()
            .map(|part| Fingerprint::of_prompt_part(model, *part))
            .collect();
        let now = ms(self.now);
        let is_refused = self.vms[vm].refused_part(&fingerprints, now).is_some();
        if crashing.is_none() {
            let counts = self.sound.entry(*parts.last().unwrap()).or_default();
            counts.sent += 1;
            counts.refused += usize::from(is_refused);
        }
        if is_refused {
            return;
        }
        let index = self.random.random_range(0..self.servers.len());
        let server = &mut self.servers[index];
        if server.down_until > self.now || server.requests.len() >= REQUESTS_PER_SERVER {
            return;
        }
        let takes_ms = match crashing {
            Some(part) => {
                self.arrivals.entry(part).or_default().push(self.now);
                CRASH_DELAY_MS
            }
            None => self.random.random_range(SOUND_TIME_MS),
        };
        server.requests.push(Request {
            vm,
            parts: fingerprints,
            crashing,
            ends_at: self.now + takes_ms,
        });
    }

    fn crash(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let target = TargetId(index as u64 * 1_000_000 + server.run);
        server.run += 1;
        server.down_until = self.now + RESTART_MS;
        for request in std::mem::take(&mut server.requests) {
            let vm = &mut self.vms[request.vm];
            let messages = vm.crashed(&request.parts, target, ms(self.now));
            self.broadcast(request.vm, &messages);
        }
    }

    fn end_requests(&mut self) {
        for index in 0..self.servers.len() {
            let now = self.now;
            let server = &mut self.servers[index];
            let is_due = |r: &Request| r.ends_at <= now;
            let crashing = server
                .requests
                .iter()
                .find(|r| is_due(r) && r.crashing.is_some());
            if let Some(part) = crashing.and_then(|request| request.crashing) {
                self.crashes.entry(part).or_default().push(now);
                self.crash(index);
                continue;
            }
            let ended: Vec<_> = server.requests.extract_if(.., |r| is_due(r)).collect();
            for request in ended {
                let vm = &mut self.vms[request.vm];
                let messages = vm.completed(&request.parts, ms(now));
                self.broadcast(request.vm, &messages);
            }
        }
    }

    fn run_until(&mut self, until: u64) {
        let scenario = self.scenario;
        while self.now < until {
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.end_requests();
            for _ in 0..scenario.servers / 10 {
                let first = self.random.random_range(0..FIRST_PARTS);
                // A few subjects have most of the requests.
                let skew: f64 = self.random.random();
                let subject = FIRST_PARTS + (SUBJECTS as f64 * skew * skew * skew) as u64;
                self.send(&[first, subject], MODELS[0], None);
            }
            if self.now.is_multiple_of(1000) {
                self.send(&[0, RARE], MODELS[0], None);
            }
            if scenario.has_victim && self.now.is_multiple_of(200) {
                self.send(&[0, VICTIM], MODELS[0], None);
            }
            let comes = self.now >= 2000 && self.now.is_multiple_of(scenario.crashing_interval_ms);
            for part in (CRASHING..CRASHING + scenario.crashing).filter(|_| comes) {
                let parts = match scenario.has_victim {
                    true => [0, VICTIM, part].to_vec(),
                    false => [0, part].to_vec(),
                };
                self.send(&parts, MODELS[0], Some(part));
                if scenario.one_model {
                    self.send(&[0, part], MODELS[1], None);
                }
            }
            if scenario.crash_of_tenth && self.now == 5000 {
                for index in 0..(scenario.servers / 10).max(2) {
                    self.crash(index);
                }
            }
            self.now += TICK_MS;
        }
    }
}

/// Plays a scenario and checks both bounds.
fn check(name: &str, scenario: Scenario) {
    let (mut most_late, mut most_crashes, mut worst_refused) = (0, 0, 0.0_f64);
    for seed in 0..4 {
        let mut play = Play::new(scenario, seed);
        play.run_until(30_000);
        for (part, crashes) in &play.crashes {
            most_crashes = most_crashes.max(crashes.len());
            let Some(fifth) = crashes.get(COUNTED_CRASHES - 1) else {
                continue;
            };
            let late = |at: &&u64| **at > fifth + CONTACT_MS;
            most_late = most_late.max(play.arrivals[part].iter().filter(late).count());
        }
        assert_eq!(scenario.crashing > 0, most_crashes > 0, "{name}");
        for counts in play.sound.values().filter(|counts| counts.sent >= 20) {
            worst_refused = worst_refused.max(counts.refused as f64 / counts.sent as f64);
        }
    }
    println!(
        "{name}: {most_crashes} crashes, {most_late} late, {worst_refused:.3} refused of a sound part"
    );
    assert!(most_late <= LATE_REQUESTS, "{name}: {most_late} late");
    assert!(worst_refused <= 0.5, "{name}: {worst_refused} refused");
}

const FLEETS: [(usize, usize); 4] = [(6, 20), (95, 20), (95, 100), (360, 100)];

fn check_fleets(name: &str, scenario: Scenario) {
    for (vms, servers) in FLEETS {
        let scenario = Scenario {
            vms,
            servers,
            ..scenario
        };
        check(&format!("{name}, {vms} vms, {servers} servers"), scenario);
    }
}

/// Guards against a part that crashes server after server, and against refusing its neighbours.
#[test]
fn a_crashing_part_is_refused_and_its_neighbours_are_not() {
    check_fleets("one part", Scenario::default());
}

/// Guards against crashes of one part that hide those of another.
#[test]
fn two_crashing_parts_are_both_refused() {
    let scenario = Scenario {
        crashing: 2,
        ..Scenario::default()
    };
    check_fleets("two parts", scenario);
}

/// Guards against a count that is lost between rare crashes.
#[test]
fn a_rare_crashing_part_is_refused() {
    let scenario = Scenario {
        crashing_interval_ms: 2000,
        ..Scenario::default()
    };
    check_fleets("one request in 2 s", scenario);
}

/// Guards against answers of another model that clear a part.
#[test]
fn a_part_that_crashes_one_model_is_refused_there_only() {
    let scenario = Scenario {
        one_model: true,
        ..Scenario::default()
    };
    check_fleets("one model", scenario);
}

/// Guards against a part of sound requests that is refused because other requests list it beside a
/// crashing one.
#[test]
fn a_sound_part_beside_a_crashing_one_is_not_refused() {
    let scenario = Scenario {
        has_victim: true,
        ..Scenario::default()
    };
    check_fleets("a victim", scenario);
}

/// Guards against refusing parts because servers crash together without a request as the cause.
#[test]
fn servers_that_crash_at_once_refuse_no_part() {
    let scenario = Scenario {
        crashing: 0,
        crash_of_tenth: true,
        ..Scenario::default()
    };
    check_fleets("a tenth at once", scenario);
}

/// Guards against a vm that lets requests with a part through to targets because it started after the
/// crashes: they are further apart than its clock is old.
#[test]
fn a_started_vm_refuses_a_part_whose_crashes_are_older_than_the_vm() {
    let part = Fingerprint::of_prompt_part("m", CRASHING);
    let mut first = PartCrashes::default();
    for crash in 1..=3 {
        first.crashed(&[part], TargetId(crash), ms(100_000 * crash));
    }
    let now = ms(310_000);
    assert!(first.refused_part(&[part], now).is_some());
    let mut started = PartCrashes::default();
    started.merge(&first.reports_for(0, now), ms(1000));
    assert!(started.refused_part(&[part], ms(1000)).is_some());
}
